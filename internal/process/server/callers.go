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

// AddressResponse tells a caller which instances to use for a service.
type AddressResponse struct {
	Service string `json:"service"`
	Place   string `json:"place"`
	// Addresses is in the order in which the caller should try them.
	Addresses []netip.AddrPort `json:"addresses"`
	// ActiveCount is the number of leading addresses that share the calls evenly. The
	// rest are backups.
	ActiveCount int `json:"active"`
	// ValidFor is how long the caller may use the response, in the format of
	// time.Duration.String.
	ValidFor string `json:"keep"`
	// ExecutorToken is a token of the first address for kinds that run at most once.
	ExecutorToken string `json:"executor,omitempty"`
}

// Callers serves the HTTP interface for callers. All fields must be set before the
// first use.
type Callers struct {
	// Place is the place of the instance.
	Place string
	// Address is where callers reach the instance.
	Address netip.AddrPort
	// Settings returns the settings in force.
	Settings func() *resolver.Snapshot
	// Addresses returns the response for a service, or nil if the service is unknown.
	Addresses func(place, service string, now time.Time) *AddressResponse
	// Leaving reports whether connections should be closed because the instance stops.
	Leaving func() bool
	// Handle returns the outcome of one request.
	Handle func(ctx context.Context, r *handler.Request) *handler.Outcome
	// Tracer starts a span for each request.
	Tracer oteltrace.Tracer
}

// Router returns the HTTP handler of the interface.
func (s *Callers) Router() http.Handler {
	e := echo.New()
	e.GET("/v1/address", s.address)
	e.Any(handler.RequestPrefix+":service/:kind", s.request)
	e.RouteNotFound(handler.RequestPrefix+"*", s.request)
	e.Any(handler.RequestPrefix+":service/:kind/*", s.request)
	return e
}

func (s *Callers) address(c echo.Context) error {
	place := c.QueryParam("place")
	if place == "" {
		place = s.Place
	}
	response := s.Addresses(place, c.QueryParam("service"), time.Now())
	if response == nil {
		return c.String(http.StatusNotFound, "the settings have no such service\n")
	}
	if len(response.Addresses) == 0 {
		c.Response().Header().Set("Retry-After", "1")
		return c.String(http.StatusServiceUnavailable, "no instance of the place can be reached\n")
	}
	return c.JSON(http.StatusOK, response)
}

func (s *Callers) request(c echo.Context) error {
	now := time.Now()
	req := c.Request()
	ctx := tracer.Propagator.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	ctx, span := s.Tracer.Start(ctx, "receive", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()

	r, o := s.readRequest(c, now)
	if o == nil {
		o = s.Handle(ctx, r)
	}
	span.SetAttributes(attribute.String("outcome", string(o.Kind)), attribute.String("cause", string(o.Cause)))
	return trace.Wrap(s.writeResponse(c.Response(), o))
}

// readRequest returns the request with its complete body, or the outcome if the
// request is rejected.
func (s *Callers) readRequest(c echo.Context, now time.Time) (*handler.Request, *handler.Outcome) {
	req := c.Request()
	operation := req.Header.Get(handler.HeaderOperation)
	service, kind, path := handler.SplitURI(req.URL.RequestURI())
	p := s.Settings().Policy(s.Place, service, kind)
	if p == nil {
		return nil, handler.NewRejected(handler.CauseNoSuchKind, operation)
	}
	// The read deadline keeps a slow body from holding the connection forever. Its error
	// is ignored: a connection that does not support deadlines is read without one.
	w := http.NewResponseController(c.Response())
	_ = w.SetReadDeadline(now.Add(p.Deadline))
	body, err := io.ReadAll(http.MaxBytesReader(nil, req.Body, p.MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, handler.NewRejected(handler.CauseBodyTooLarge, operation)
		}
		return nil, handler.NewRejected(handler.CauseCanceled, operation)
	}
	_ = w.SetReadDeadline(time.Time{})
	return handler.NewRequest(p, req.Method, path, req.Header, body, now), nil
}

func (s *Callers) writeResponse(w http.ResponseWriter, o *handler.Outcome) error {
	response := o.Response()
	h := w.Header()
	for name, list := range response.Header {
		h[name] = list
	}
	h.Set(handler.HeaderInstance, s.Address.String())
	if s.Leaving() {
		h.Set("Connection", "close")
	}
	if o.Kind == handler.Done && len(response.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, err := w.Write(response.Body)
	return trace.Wrap(err)
}
