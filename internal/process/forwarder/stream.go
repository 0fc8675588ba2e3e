package forwarder

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/streamer"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// attempt is the context of one attempt. It ends with that of the execution until detach
// is called.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	detach func() bool
	// ended is called when the target has sent its whole response.
	ended func()
}

// end releases the context.
func (a *attempt) end() {
	a.detach()
	a.cancel()
}

func (e *execution) newAttempt() attempt {
	a := attempt{}
	a.ctx, a.cancel = context.WithCancel(e.base)
	a.detach = context.AfterFunc(e.ctx, a.cancel)
	return a
}

// discard ends an attempt whose response is not needed.
func (r *result) discard() {
	r.attempt.end()
	if r.response != nil && r.response.Rest != nil {
		_ = r.response.Rest.Close()
		r.attempt.ended()
	}
}

// clientResponse returns the response of a target in the form for the client. If only the
// first part of the body has arrived, the rest follows from the same attempt.
func (e *execution) clientResponse(r result) *acceptor.Response {
	response := &acceptor.Response{Status: r.response.Status, Header: r.response.Header, Body: r.response.Body}
	if r.response.Rest == nil {
		return response
	}
	e.streams = true
	r.attempt.detach()
	e.forwarder.counters.streamed.Inc(1)
	response.Length = r.response.Length
	response.Rest = streamer.Start(streamer.Options{
		Source: r.response.Rest, Context: r.attempt.ctx, Cancel: r.attempt.cancel, Memory: e.forwarder.options.Memory,
		OnEnd: func(err error, pause time.Duration) { e.endStream(r, err, pause, time.Now()) },
	})
	return response
}

const (
	// unreadTime is how long a response must have been left unread for its early end to be
	// ascribed to that. Targets cut off a response that stays unread for some seconds.
	unreadTime = time.Second
	// maxLearnedPause is the longest pause of a response whose duration still says how fast
	// its target is.
	maxLearnedPause = 10 * time.Millisecond
)

// The causes of a response that is cut off, in logs and metrics.
const (
	// cutByClient means that the client has left or does not read.
	cutByClient = "client"
	// cutAtDeadline means that the request's time is over.
	cutAtDeadline = "deadline"
	// cutUnread means that the target broke off a response that was left unread, because
	// the client reads slowly.
	cutUnread = "unread"
	// cutByTarget means that the target broke off.
	cutByTarget = "target"
)

// endStream records the end of the rest of a response.
func (e *execution) endStream(r result, err error, pause time.Duration, now time.Time) {
	cause, ending := e.streamCause(r, err, pause), placer.Served
	switch {
	case cause == "":
		e.recordCompletion(now)
		if pause > maxLearnedPause {
			ending = placer.Canceled
		}
	case cause == cutByTarget:
		ending = placer.NoCompleteResponse
		run := quarantiner.Run{Address: r.grant.Target.Address, Start: r.grant.Target.ID}
		e.forwarder.options.SpreadRumor(e.forwarder.quarantiner.RecordLoss(quarantiner.Service{Service: e.service.name}, e.fingerprint, run, now), now)
	default:
		ending = placer.Canceled
	}
	if cause != "" {
		e.forwarder.counters.countCut(e.service.name, cause)
		_ = level.Warn(e.logger).Log("msg", "response cut", "service", e.service.name, "target", r.grant.Target.ID,
			"cause", cause, "took", now.Sub(r.sent), "err", err)
	}
	r.attempt.end()
	r.attempt.ended()
	e.finish()
	e.service.end(r.grant, ending, nil, now)
}

// streamCause returns why a response was cut off, or nothing if it is complete.
func (e *execution) streamCause(r result, err error, pause time.Duration) string {
	switch {
	case err == nil:
		return ""
	case e.base.Err() == context.DeadlineExceeded:
		return cutAtDeadline
	case r.attempt.ctx.Err() != nil:
		return cutByClient
	case pause >= unreadTime:
		return cutUnread
	}
	return cutByTarget
}

// recordCompletion records a complete response, which clears a suspect request.
func (e *execution) recordCompletion(now time.Time) {
	f := e.forwarder
	if rumor, cleared := f.quarantiner.RecordCompletion(quarantiner.Service{Service: e.service.name}, e.fingerprint, now); cleared {
		f.options.SpreadRumor(rumor, now)
	}
}
