package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// servicePrefix starts the path of every request for a service.
const servicePrefix = "/s/"

// Answer tells a caller which addresses to use.
type Answer struct {
	Service string `json:"service"`
	Place   string `json:"place"`
	// Addresses are in the order in which the caller should try them.
	Addresses []netip.AddrPort `json:"addresses"`
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
	// Handle carries one request to its outcome.
	Handle func(ctx context.Context, r *handler.Request) *handler.Outcome
	// Tracer starts a span for each request.
	Tracer oteltrace.Tracer
}

// propagator reads the standard trace header.
var propagator = propagation.TraceContext{}

// Router returns the HTTP handler of the interface.
func (c *Callers) Router() http.Handler {
	e := echo.New()
	e.GET("/v1/address", c.address)
	e.Any(servicePrefix+":service/:kind", c.request)
	e.Any(servicePrefix+":service/:kind/*", c.request)
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
	return x.JSON(http.StatusOK, a)
}

func (c *Callers) request(x echo.Context) error {
	now := time.Now()
	q := x.Request()
	ctx := propagator.Extract(q.Context(), propagation.HeaderCarrier(q.Header))
	ctx, span := c.Tracer.Start(ctx, "receive", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()

	r, o := c.accept(q, now)
	if o == nil {
		o = c.Handle(ctx, r)
	}
	span.SetAttributes(attribute.String("outcome", string(o.Kind)), attribute.String("cause", string(o.Cause)))
	return trace.Wrap(c.write(x.Response(), o))
}

// accept reads the whole request, or says why it is refused.
func (c *Callers) accept(q *http.Request, now time.Time) (*handler.Request, *handler.Outcome) {
	service, kind, path := split(q.URL.EscapedPath())
	p := c.Settings().Policy(c.Place, service, kind)
	if p == nil {
		return nil, handler.Refuse(handler.CauseName, 0)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, q.Body, p.Body))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, handler.Refuse(handler.CauseSize, 0)
		}
		return nil, handler.Refuse(handler.CauseCancelled, 0)
	}
	if q.URL.RawQuery != "" {
		path += "?" + q.URL.RawQuery
	}
	return &handler.Request{
		Policy:    p,
		Method:    q.Method,
		Path:      path,
		Header:    q.Header,
		Body:      body,
		Operation: q.Header.Get(handler.HeaderOperation),
		Arrived:   now,
		Deadline:  now.Add(deadline(q.Header, p.Deadline)),
	}, nil
}

// split takes the path of a request apart; the target's path starts with the kind.
func split(path string) (service, kind, rest string) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	kind, _, _ = strings.Cut(rest, "/")
	return service, kind, "/" + rest
}

// deadline returns the time that the caller grants, at most that of the settings.
func deadline(h http.Header, greatest time.Duration) time.Duration {
	asked, err := time.ParseDuration(h.Get(handler.HeaderDeadline))
	if err != nil || asked <= 0 || asked > greatest {
		return greatest
	}
	return asked
}

func (c *Callers) write(w http.ResponseWriter, o *handler.Outcome) error {
	h := w.Header()
	for name, list := range handler.Strip(o.Header) {
		h[name] = list
	}
	h.Set(handler.HeaderOutcome, string(o.Kind))
	h.Set(handler.HeaderInstance, c.Address.String())
	if o.Executor != "" {
		h.Set(handler.HeaderExecutor, o.Executor)
	}
	if o.Final {
		h.Set(handler.HeaderFinal, "true")
	}
	if o.Retry > 0 {
		h.Set(handler.HeaderRetry, o.Retry.String())
		h.Set("Retry-After", strconv.Itoa(seconds(o.Retry)))
	}
	body := o.Body
	if o.Kind != handler.Done {
		body = []byte(o.Text())
	}
	w.WriteHeader(o.Status)
	_, err := w.Write(body)
	return trace.Wrap(err)
}

// seconds rounds up to whole seconds, as the Retry-After header wants them.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
