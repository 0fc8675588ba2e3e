package assembler

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/server"
	"oriolecourse.example/oriolecourse/internal/process/tracer"
	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// tokenPath is the path of the operation that asks a peer for a token of its executor.
const tokenPath = "/v1/token"

// listEntry returns the entry of the instance in the list.
func (o *Options) listEntry() lister.Instance {
	return lister.Instance{Address: o.Address, Peer: o.Peer, Admin: o.Admin, Place: o.Place, Zone: o.Zone, State: lister.Live}
}

func (i *Instance) newRelayer() *relayer.Relayer {
	return relayer.New(relayer.Options{
		Self:            i.options.listEntry(),
		Incarnation:     i.incarnation,
		Seeds:           i.options.Seeds,
		Keys:            func() framer.Keys { return i.options.Keys },
		Documents:       i.documentText,
		OfferDocument:   i.offerDocument,
		OnRumor:         i.receiveRumor,
		Execute:         i.execute,
		OnMembersChange: i.membersChanged,
		Allow:           i.peerAllowed,
		Logger:          i.options.Logger,
		Scope:           i.options.Scope,
	})
}

// documentText returns the document in force for peers that pull it.
func (i *Instance) documentText(k relayer.DocumentKind) (version, digest uint64, text []byte) {
	if k == relayer.Settings {
		text, stamp := i.settings.Text()
		return stamp.Version, stamp.Digest, text
	}
	text, stamp := i.list.Text()
	return stamp.Version, stamp.Digest, text
}

// offerDocument offers the document of a peer to the adopter and reports whether it
// has come into force.
func (i *Instance) offerDocument(k relayer.DocumentKind, text []byte, now time.Time) bool {
	if k == relayer.Settings {
		return i.settings.Offer(text, 0, 0, now) == adopter.Accepted
	}
	return i.list.Offer(text, 0, 0, now) == adopter.Accepted
}

// membersChanged triggers a refresh after a change of the membership.
func (i *Instance) membersChanged([]detector.Member, []detector.Change) { i.triggerRefresh() }

// execute runs an operation that a peer forwarded. It also handles the requests of
// peers for tokens and their handovers.
func (i *Instance) execute(ctx context.Context, o relayer.Operation) relayer.Outcome {
	switch o.Path {
	case tokenPath:
		return i.tokenOutcome(time.Now())
	case handoverPath:
		return i.acceptHandover(o, time.Now())
	}
	ctx = tracer.Propagator.Extract(ctx, propagation.HeaderCarrier(o.Header))
	ctx, span := i.options.Tracer.Start(ctx, "execute", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	response := i.runOperation(ctx, o, time.Now()).Response()
	return relayer.Outcome{Status: response.Status, Header: response.Header, Body: response.Body}
}

// runOperation returns the outcome of an operation that a peer forwarded. The operation
// runs at most once even if the local settings allow more, because the settings of the
// peer, which may be newer, require it.
func (i *Instance) runOperation(ctx context.Context, o relayer.Operation, now time.Time) *handler.Outcome {
	s := i.settings.Current()
	if s == nil {
		// Without settings this instance cannot tell whether an earlier request with the
		// same operation id has run.
		return handler.NewUnknown(handler.CauseExecutorUnreachable, 0)
	}
	service, kind, path := handler.SplitURI(o.Path)
	p := s.Policy(i.options.Place, service, kind)
	if p == nil {
		return handler.NewRejected(handler.CauseNoSuchKind, o.Header.Get(handler.HeaderOperation))
	}
	if !p.AtMostOnce {
		once := *p
		once.AtMostOnce = true
		p = &once
	}
	r := handler.NewRequest(p, o.Method, path, o.Header, o.Body, now)
	if o.Timeout > 0 && now.Add(o.Timeout).Before(r.Deadline) {
		r.Deadline = now.Add(o.Timeout)
	}
	return i.Handle(ctx, r)
}

// tokenOutcome returns an outcome with a token of this instance's executor, if it
// issues one.
func (i *Instance) tokenOutcome(now time.Time) relayer.Outcome {
	h := http.Header{}
	if t, ok := i.operationTable.Token(now); ok {
		h.Set(handler.HeaderExecutor, t.String())
	}
	return relayer.Outcome{Status: http.StatusOK, Header: h}
}

// forward sends an operation to its executor and returns the outcome. If the operation
// could not be sent or the executor has ended, forward asks the executor's successor. If
// the executor may have received the operation but did not respond, the outcome is
// Unknown.
func (i *Instance) forward(ctx context.Context, to executor.Token, r *handler.Request) *handler.Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, span := i.options.Tracer.Start(ctx, "forward", oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	defer span.End()
	o := newOperation(to.Incarnation, r)
	tracer.Propagator.Inject(ctx, propagation.HeaderCarrier(o.Header))
	outcome, err := i.relayer.Forward(ctx, to.Peer, o)
	if err == nil {
		r.OutcomeFromPeer = true
		return handler.ParseResponse(handler.Response{Status: outcome.Status, Header: outcome.Header, Body: outcome.Body})
	}
	var failure *relayer.ForwardError
	if !errors.As(err, &failure) || failure.Failure == relayer.Unanswered {
		return handler.NewUnknown(handler.CauseExecutorUnreachable, 0)
	}
	if o, ok := i.forwardToSuccessor(ctx, to, r); ok {
		return o
	}
	if failure.Failure == relayer.Replaced {
		return handler.NewUnknown(handler.CauseExecutorEnded, 0)
	}
	return handler.NewUnknown(handler.CauseExecutorUnreachable, 0)
}

// newOperation returns the message that forwards a request to an incarnation.
func newOperation(incarnation uint64, r *handler.Request) relayer.Operation {
	return relayer.Operation{
		Incarnation: incarnation,
		Method:      r.Method,
		Path:        handler.RequestPrefix + r.Policy.Service + r.Path,
		Header:      r.Header.Clone(),
		Body:        r.Body,
	}
}

// peers returns the members that the instance knows. The first one is itself.
func (i *Instance) peers() []server.Peer {
	peers := []server.Peer{newPeer(i.relayer.Self())}
	for _, m := range i.relayer.Members() {
		peers = append(peers, newPeer(m))
	}
	return peers
}

func newPeer(m detector.Member) server.Peer {
	admin := ""
	if m.Instance.Admin.IsValid() {
		admin = m.Instance.Admin.String()
	}
	return server.Peer{
		Admin:       admin,
		Address:     m.Instance.Address.String(),
		Peer:        m.Instance.Peer.String(),
		Place:       m.Instance.Place,
		Zone:        m.Instance.Zone,
		Incarnation: formatIncarnation(m.Incarnation),
		State:       m.State.String(),
		Leaving:     m.Leaving,
	}
}

// peerAllowed reports whether messages may be exchanged with a peer address.
func (i *Instance) peerAllowed(address netip.AddrPort) bool {
	_, blocked := i.blockedPeers.Load(address)
	return !blocked
}

// setPeerBlocked blocks or allows the exchange of messages with a peer address.
func (i *Instance) setPeerBlocked(text string, blocked bool) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return trace.BadParameter("%q is not an address and port", text)
	}
	if blocked {
		i.blockedPeers.Store(address, struct{}{})
	} else {
		i.blockedPeers.Delete(address)
	}
	return nil
}
