package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"oriolecourse.example/oriolecourse/internal/process/tracer"
	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Answer tells a caller which addresses to use.
type Answer struct {
	Service string `json:"service"`
	Place   string `json:"place"`
	// Addresses are in the order in which the caller should try them.
	Addresses []netip.AddrPort `json:"addresses"`
	// Active is the number of leading addresses that take the calls in equal parts.
	Active int `json:"active"`
	// Keep is how long the caller may use the answer, as a Go duration.
	Keep string `json:"keep"`
	// Executor is the token of the first address for kinds that run at most once.
	Executor string `json:"executor,omitempty"`
}

// Callers serves the callers' interface. All fields are set before the first use.
type Callers struct {
	// Place is the place of the instance.
	Place string
	// Address is where callers reach the instance.
	Address netip.AddrPort
	// Settings returns the version in force.
	Settings func() *resolver.Snapshot
	// Answer says which addresses to use; nil if the service is unknown.
	Answer func(place, service string, now time.Time) *Answer
	// Leaving tells that connections should end, since the instance will stop.
	Leaving func() bool
	// Handle carries one request to its outcome.
	Handle func(ctx context.Context, r *handler.Request) *handler.Outcome
	// Tracer starts a span for each request.
	Tracer oteltrace.Tracer
}

// Router returns the HTTP handler of the interface.
func (c *Callers) Router() http.Handler {
	e := echo.New()
	e.GET("/v1/address", c.address)
	e.Any(handler.RequestPrefix+":service/:kind", c.request)
	e.RouteNotFound(handler.RequestPrefix+"*", c.request)
	e.Any(handler.RequestPrefix+":service/:kind/*", c.request)
	return e
}

func (c *Callers) address(x echo.Context) error {
	place := x.QueryParam("place")
	if place == "" {
		place = c.Place
	}
	a := c.Answer(place, x.QueryParam("service"), time.Now())
	if a == nil {
		return x.String(http.StatusNotFound, "the settings have no such service\n")
	}
	if len(a.Addresses) == 0 {
		x.Response().Header().Set("Retry-After", "1")
		return x.String(http.StatusServiceUnavailable, "no instance of the place can be reached\n")
	}
	return x.JSON(http.StatusOK, a)
}

func (c *Callers) request(x echo.Context) error {
	now := time.Now()
	q := x.Request()
	ctx := tracer.Propagator.Extract(q.Context(), propagation.HeaderCarrier(q.Header))
	ctx, span := c.Tracer.Start(ctx, "receive", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()

	r, o := c.accept(x, now)
	if o == nil {
		o = c.Handle(ctx, r)
	}
	span.SetAttributes(attribute.String("outcome", string(o.Kind)), attribute.String("cause", string(o.Cause)))
	return trace.Wrap(c.write(x.Response(), o))
}

// accept reads the whole request, or says why it is refused.
func (c *Callers) accept(x echo.Context, now time.Time) (*handler.Request, *handler.Outcome) {
	q := x.Request()
	operation := q.Header.Get(handler.HeaderOperation)
	service, kind, path := handler.SplitURI(q.URL.RequestURI())
	p := c.Settings().Policy(c.Place, service, kind)
	if p == nil {
		return nil, handler.NewRejected(handler.CauseNoSuchKind, operation)
	}
	// A body that does not come in time must not hold the connection for ever; a
	// connection without deadlines cannot be bounded.
	w := http.NewResponseController(x.Response())
	_ = w.SetReadDeadline(now.Add(p.Deadline))
	body, err := io.ReadAll(http.MaxBytesReader(nil, q.Body, p.MaxBodyBytes))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, handler.NewRejected(handler.CauseBodyTooLarge, operation)
		}
		return nil, handler.NewRejected(handler.CauseCanceled, operation)
	}
	_ = w.SetReadDeadline(time.Time{})
	return handler.NewRequest(p, q.Method, path, q.Header, body, now), nil
}

func (c *Callers) write(w http.ResponseWriter, o *handler.Outcome) error {
	m := o.Response()
	h := w.Header()
	for name, list := range m.Header {
		h[name] = list
	}
	h.Set(handler.HeaderInstance, c.Address.String())
	if c.Leaving() {
		h.Set("Connection", "close")
	}
	if o.Kind == handler.Done && len(m.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(m.Body)))
	}
	w.WriteHeader(m.Status)
	_, err := w.Write(m.Body)
	return trace.Wrap(err)
}
