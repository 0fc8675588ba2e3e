package assembler

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
)

const (
	// catchupTimeout bounds the questions of a starting instance to its peers.
	catchupTimeout = 2 * time.Second
	// joinTimeout bounds the wait of a starting instance for the membership.
	joinTimeout = 2 * time.Second
	// lookPeriod is the time between two looks for a condition of the start or end.
	lookPeriod = 20 * time.Millisecond
	// settleTime is how long it takes until all instances know that one is leaving.
	settleTime = 3 * time.Second
	// finishTime bounds the writing of an answer that came at the deadline of its
	// request.
	finishTime = 10 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
)

// life takes an instance from its start to its end.
type life struct {
	instance *Instance
	server   *http.Server
	signals  chan os.Signal
	// done is closed to end the life without a graceful shutdown.
	done chan struct{}
}

func newLife(i *Instance) *life {
	l := &life{
		instance: i,
		server:   &http.Server{Handler: i.callers().Router(), ReadHeaderTimeout: headerTimeout},
		signals:  make(chan os.Signal, 1),
		done:     make(chan struct{}),
	}
	signal.Notify(l.signals, os.Interrupt, syscall.SIGTERM)
	return l
}

// run serves callers from the time at which the instance knows enough until it
// has been told to stop and has left.
func (l *life) run() error {
	i := l.instance
	if !l.prepare() {
		return nil
	}
	listener, err := net.Listen("tcp", i.options.Address.String())
	if err != nil {
		return trace.Wrap(err, "cannot listen on %s", i.options.Address)
	}
	failed := make(chan error, 1)
	go func() { failed <- l.server.Serve(listener) }()
	i.ready.Store(true)
	_ = level.Info(i.options.Logger).Log("msg", "serving", "version", i.settings.Stamp().Version)
	select {
	case err := <-failed:
		return trace.Wrap(err)
	case <-l.done:
		return nil
	case <-l.signals:
		return trace.Wrap(l.leave())
	}
}

// stop ends the life at once.
func (l *life) stop(error) {
	signal.Stop(l.signals)
	close(l.done)
	l.server.Close()
}

// prepare waits until the instance holds documents, and first asks its peers for
// newer ones than a stale platform may have given. It is false when the instance
// is to stop.
func (l *life) prepare() bool {
	i := l.instance
	reached := l.catchup()
	if !l.await(func() bool { return i.settings.Current() != nil && i.list.Current() != nil }) {
		return false
	}
	if len(i.options.Seeds) == 0 {
		// Only the list has told which peers there are.
		reached = l.catchup()
	}
	l.join(reached)
	i.wake()
	return l.await(func() bool { return i.plan.Load() != nil })
}

// join waits until the instance has met the fleet if there is one, since answers
// from a partial view lead callers to instances that are not homes.
func (l *life) join(reached int) {
	if reached == 0 {
		return
	}
	limit := time.Now().Add(joinTimeout)
	l.await(func() bool { return len(l.instance.relayer.Members()) > 0 || time.Now().After(limit) })
}

// catchup returns the number of peers that answered.
func (l *life) catchup() int {
	ctx, cancel := context.WithTimeout(context.Background(), catchupTimeout)
	defer cancel()
	reached := l.instance.relayer.Catchup(ctx, l.instance.list.Current())
	_ = level.Info(l.instance.options.Logger).Log("msg", "catchup", "peers", reached)
	return reached
}

// await waits for a condition; it is false when the instance is to stop first.
func (l *life) await(condition func() bool) bool {
	t := time.NewTicker(lookPeriod)
	defer t.Stop()
	for !condition() {
		select {
		case <-l.done:
			return false
		case <-l.signals:
			return false
		case <-t.C:
		}
	}
	return true
}

// leave ends the instance without cutting off a request: it is no longer named
// in answers, serves until the kept answers have run out, refuses new
// connections and finishes what is in flight.
func (l *life) leave() error {
	i := l.instance
	begun := time.Now()
	i.leaving.Store(true)
	i.relayer.StartLeaving(begun)
	kept, _ := i.horizon.at(begun)
	wait := settleTime + kept.Sub(begun)
	_ = level.Info(i.options.Logger).Log("msg", "leaving", "wait", wait)
	l.pause(wait)

	now := time.Now()
	i.table.Close(now)
	_, due := i.horizon.at(now)
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(finishTime))
	defer cancel()
	err := l.server.Shutdown(ctx)
	l.drained(ctx)
	i.bequeath()
	i.relayer.FinishLeaving(time.Now())
	_ = level.Info(i.options.Logger).Log("msg", "left", "took", time.Since(begun))
	return trace.Wrap(err)
}

// pause waits; a second signal ends it early.
func (l *life) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.done:
	case <-l.signals:
	}
}

// drained waits until no operation that peers have passed on is in flight and
// their answers have been sent.
func (l *life) drained(ctx context.Context) {
	t := time.NewTicker(lookPeriod)
	defer t.Stop()
	for l.instance.table.Stats().Pending > 0 || l.instance.relayer.Executing() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
