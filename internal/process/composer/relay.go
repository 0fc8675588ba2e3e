package composer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/process/director"
	"oriolecourse.example/oriolecourse/internal/process/forwarder"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

const (
	// hostField carries the host of a relayed request in the header of the operation.
	hostField = "Host"
	// maxRelayPeers is the number of instances that a request is relayed to in turn, while
	// none takes it.
	maxRelayPeers = 6
)

// cutOffChanged tells the other instances whether this one can reach no target.
func (i *Instance) cutOffChanged(cutOff bool, now time.Time) { i.relayer.SetCutOff(cutOff, now) }

// canRelay reports whether another instance can be expected to serve requests.
func (i *Instance) canRelay() bool {
	for _, m := range i.relayer.Members() {
		if m.Serves() {
			return true
		}
	}
	return false
}

// relay sends a request to another instance, which serves it. The next instance is tried
// only if the one before has certainly not begun.
func (i *Instance) relay(ctx context.Context, q *acceptor.Request, r *router.Route) (*acceptor.Response, forwarder.RelayResult) {
	route, err := r.Encode()
	if err != nil {
		_ = level.Error(i.options.Logger).Log("msg", "not relayed", "err", err)
		return nil, forwarder.RelayUnsent
	}
	header := q.Header.Clone()
	header.Set(hostField, q.Host)
	result := forwarder.RelayRefused
	peers := director.Serving(i.self.Zone, i.relayer.Members(), i.weigh, rand.IntN)
	for _, m := range peers[:min(maxRelayPeers, len(peers))] {
		o, err := i.relayer.Forward(ctx, m.Instance.Peer, relayer.Operation{
			Incarnation: m.Incarnation, Method: q.Method, Path: q.RequestURI, Header: header, Body: q.Body, Route: route,
		})
		var failure *relayer.ForwardError
		switch {
		case err == nil && o.Status != http.StatusMisdirectedRequest:
			return &acceptor.Response{Status: o.Status, Header: o.Header, Body: o.Body}, forwarder.RelayAnswered
		case err != nil && !(errors.As(err, &failure) && failure.Failure != relayer.Unanswered):
			return nil, forwarder.RelayUnknown
		case err != nil:
			result = forwarder.RelayUnsent
		}
		_ = level.Debug(i.options.Logger).Log("msg", "not relayed", "peer", m.Instance.Peer, "err", err)
	}
	return nil, result
}

// serveRelayed serves a request that another instance has relayed.
func (i *Instance) serveRelayed(ctx context.Context, o relayer.Operation) relayer.Outcome {
	route, err := router.DecodeRoute(o.Route)
	if err != nil {
		_ = level.Error(i.options.Logger).Log("msg", "relay refused", "err", err)
		return relayer.Outcome{Status: http.StatusMisdirectedRequest}
	}
	q := &acceptor.Request{Arrived: time.Now(), Method: o.Method, RequestURI: o.Path, Header: o.Header, Body: o.Body}
	if q.Header == nil {
		q.Header = http.Header{}
	}
	q.Host = q.Header.Get(hostField)
	q.Header.Del(hostField)
	r := i.forwarder.ServeRelayed(ctx, q, route)
	return relayer.Outcome{Status: r.Status, Header: r.Header, Body: r.Body}
}
