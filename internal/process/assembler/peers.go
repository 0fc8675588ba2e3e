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

// pathToken asks an instance for its executor's token.
const pathToken = "/v1/token"

// self returns the instance as the list would publish it.
func (o *Options) self() lister.Instance {
	return lister.Instance{Address: o.Address, Peer: o.Peer, Admin: o.Admin, Place: o.Place, Zone: o.Zone, State: lister.Live}
}

func (i *Instance) newRelayer() *relayer.Relayer {
	return relayer.New(relayer.Options{
		Self:            i.options.self(),
		Incarnation:     i.incarnation,
		Seeds:           i.options.Seeds,
		Keys:            func() framer.Keys { return i.options.Keys },
		Documents:       i.documents,
		OfferDocument:   i.offer,
		OnRumor:         i.hear,
		Execute:         i.execute,
		OnMembersChange: i.members,
		Allow:           i.allowed,
		Logger:          i.options.Logger,
		Scope:           i.options.Scope,
	})
}

// documents returns what peers may pull.
func (i *Instance) documents(k relayer.DocumentKind) (version, digest uint64, text []byte) {
	if k == relayer.Settings {
		text, stamp := i.settings.Text()
		return stamp.Version, stamp.Digest, text
	}
	text, stamp := i.list.Text()
	return stamp.Version, stamp.Digest, text
}

// offer takes a document that a peer or the platform holds and reports whether
// it has come into force.
func (i *Instance) offer(k relayer.DocumentKind, text []byte, now time.Time) bool {
	if k == relayer.Settings {
		return i.settings.Offer(text, 0, 0, now) == adopter.Accepted
	}
	return i.list.Offer(text, 0, 0, now) == adopter.Accepted
}

// members reacts to a change of the fleet.
func (i *Instance) members([]detector.Member, []detector.Change) { i.wake() }

// execute runs an operation that another instance has passed on.
func (i *Instance) execute(ctx context.Context, o relayer.Operation) relayer.Outcome {
	switch o.Path {
	case pathToken:
		return i.token(time.Now())
	case pathLegacy:
		return i.inherit(o, time.Now())
	}
	ctx = tracer.Propagator.Extract(ctx, propagation.HeaderCarrier(o.Header))
	ctx, span := i.options.Tracer.Start(ctx, "execute", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	m := i.run(ctx, o, time.Now()).Response()
	return relayer.Outcome{Status: m.Status, Header: m.Header, Body: m.Body}
}

// run carries an operation to its outcome. The settings of the instance that
// passed it on, which may be newer, say that it runs at most once.
func (i *Instance) run(ctx context.Context, o relayer.Operation, now time.Time) *handler.Outcome {
	s := i.settings.Current()
	if s == nil {
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

// token answers with a token of the executor, if it has one.
func (i *Instance) token(now time.Time) relayer.Outcome {
	h := http.Header{}
	if t, ok := i.table.Token(now); ok {
		h.Set(handler.HeaderExecutor, t.String())
	}
	return relayer.Outcome{Status: http.StatusOK, Header: h}
}

// forward passes an operation to its executor and returns the executor's answer.
func (i *Instance) forward(ctx context.Context, to executor.Token, r *handler.Request) *handler.Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, span := i.options.Tracer.Start(ctx, "forward", oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	defer span.End()
	o := operation(to.Incarnation, r)
	tracer.Propagator.Inject(ctx, propagation.HeaderCarrier(o.Header))
	a, err := i.relayer.Forward(ctx, to.Peer, o)
	if err == nil {
		r.OutcomeFromPeer = true
		return handler.ParseResponse(handler.Response{Status: a.Status, Header: a.Header, Body: a.Body})
	}
	var failure *relayer.ForwardError
	if !errors.As(err, &failure) || failure.Failure == relayer.Unanswered {
		return handler.NewUnknown(handler.CauseExecutorUnreachable, 0)
	}
	if o, ok := i.askHeir(ctx, to, r); ok {
		return o
	}
	if failure.Failure == relayer.Replaced {
		return handler.NewUnknown(handler.CauseExecutorEnded, 0)
	}
	return handler.NewUnknown(handler.CauseExecutorUnreachable, 0)
}

// operation makes the message that passes a request on to an incarnation.
func operation(incarnation uint64, r *handler.Request) relayer.Operation {
	return relayer.Operation{
		Incarnation: incarnation,
		Method:      r.Method,
		Path:        handler.RequestPrefix + r.Policy.Service + r.Path,
		Header:      r.Header.Clone(),
		Body:        r.Body,
	}
}

// peers returns the members that the instance knows, itself first.
func (i *Instance) peers() []server.Peer {
	found := []server.Peer{peer(i.relayer.Self())}
	for _, m := range i.relayer.Members() {
		found = append(found, peer(m))
	}
	return found
}

func peer(m detector.Member) server.Peer {
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
		Incarnation: incarnationText(m.Incarnation),
		State:       m.State.String(),
		Leaving:     m.Leaving,
	}
}

// allowed tells whether the exchange with a peer has not been cut.
func (i *Instance) allowed(address netip.AddrPort) bool {
	_, cut := i.cuts.Load(address)
	return !cut
}

// cut forbids or allows the exchange with a peer.
func (i *Instance) cut(text string, cut bool) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return trace.BadParameter("%q is not an address and port", text)
	}
	if cut {
		i.cuts.Store(address, struct{}{})
	} else {
		i.cuts.Delete(address)
	}
	return nil
}
