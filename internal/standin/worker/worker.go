package worker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	mathrand "math/rand"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"oriolecourse.example/oriolecourse/internal/standin/generator"
	"oriolecourse.example/oriolecourse/internal/standin/listener"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// maxBody bounds the pattern that a caller may ask for in bytes.
const maxBody = 16 << 20

// Settings describe one target.
type Settings struct {
	Address netip.AddrPort
	Place   string
	Service string
	Zone    string
	// Slots is the number of requests that run at a time, QueueCapacity the number
	// that may wait for a slot before the target sheds.
	Slots, QueueCapacity int
	// MeanServiceTime is the mean service time, Sigma the shape of its log-normal
	// distribution; 0 makes every request take the mean.
	MeanServiceTime time.Duration
	Sigma           float64
	// MeanByKind overrides Mean for single kinds.
	MeanByKind map[string]time.Duration
	// TimeScale multiplies service times and episodes.
	TimeScale float64
	// Seed makes service times and episodes repeatable.
	Seed int64
	// NetworkDelay is the emulated one-way network delay to the target.
	NetworkDelay time.Duration
	// Noise describes slow episodes that come and go by themselves.
	Noise Noise
	// ColdStart is the duration of the cold start; 0 starts warm.
	ColdStart time.Duration
}

// Worker is one target.
type Worker struct {
	settings Settings
	start    string
	began    time.Time
	// book keeps totals only when a recorder keeps the events.
	book *recorder.Record
	// stream is nil without a recorder.
	stream *recorder.Stream
	// exit ends the process.
	exit func(code int)

	// slots holds one token for each running request.
	slots           chan struct{}
	running, queued atomic.Int64
	neighbour       *neighbour
	faults          faults

	mu     sync.Mutex
	random *mathrand.Rand
	// held is the last load report that was computed.
	held report
}

// New returns a target that begins at the given time. The stream may be nil.
func New(s Settings, stream *recorder.Stream, exit func(int), now time.Time) *Worker {
	token := make([]byte, 8)
	_, _ = rand.Read(token)
	w := &Worker{
		settings:  s,
		start:     hex.EncodeToString(token),
		began:     now,
		book:      &recorder.Record{TotalsOnly: stream != nil},
		stream:    stream,
		exit:      exit,
		slots:     make(chan struct{}, s.Slots),
		neighbour: newNeighbour(s.Noise, s.TimeScale, s.Seed, now),
		random:    mathrand.New(mathrand.NewSource(s.Seed)),
	}
	if s.ColdStart > 0 {
		w.faults.coldStart(defaultCold, s.ColdStart, now)
	}
	return w
}

// Start names this run of the target.
func (w *Worker) Start() string { return w.start }

// Handler returns the target's routes; every other path is work.
func (w *Worker) Handler() http.Handler {
	e := listener.NewRouter()
	w.book.Register(e)
	e.GET("/health", w.health)
	listener.RegisterFaults(e, w.named())
	e.Any("/:kind", w.work)
	e.Any("/:kind/*", w.work)
	return e
}

// record writes an event to the book and, if there is one, to the stream.
func (w *Worker) record(e recorder.Event) error {
	e.Time, e.Target, e.Start, e.Service = time.Now(), w.settings.Address.String(), w.start, w.settings.Service
	if w.stream != nil {
		if err := w.stream.Send(e); err != nil {
			return err
		}
	}
	w.book.Add(e)
	return nil
}

// health answers health checks and probes.
func (w *Worker) health(c echo.Context) error {
	if c.Request().Header.Get("Oriole-Probe") != "" {
		if err := w.record(recorder.Event{Type: recorder.Probe}); err != nil {
			return err
		}
	}
	if err := w.hold(c.Request().Context(), w.settings.NetworkDelay); err != nil {
		return nil
	}
	if err := w.faults.thawed(c.Request().Context()); err != nil {
		return nil
	}
	state := w.faults.state(time.Now())
	w.describe(c, state)
	if state == draining || state == shedding {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// work serves one request from its arrival to its answer.
func (w *Worker) work(c echo.Context) error {
	arrived := time.Now()
	ctx, cancel, err := bounded(c.Request(), arrived)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	defer cancel()
	if err := w.hold(ctx, w.settings.NetworkDelay); err != nil {
		return w.refuse(c, shedding)
	}
	if err := w.faults.thawed(ctx); err != nil {
		return w.refuse(c, shedding)
	}
	if done, err := w.disturb(c); done {
		return err
	}
	if err := w.enter(ctx); err != nil {
		return w.refuse(c, shedding)
	}
	cause, err := w.run(ctx, c)
	if err != nil {
		return w.refuse(c, shedding)
	}
	return w.respond(c, cause)
}

// bounded returns the request's context with the deadline that the request
// carries.
func bounded(r *http.Request, now time.Time) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get("Oriole-Deadline")
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	left, err := time.ParseDuration(text)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(left))
	return ctx, cancel, nil
}

// enter takes a slot or a place in the queue, in the order of arrival.
func (w *Worker) enter(ctx context.Context) error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if w.queued.Add(1) > int64(w.settings.QueueCapacity) {
		w.queued.Add(-1)
		return trace.LimitExceeded("the queue is full")
	}
	defer w.queued.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// run holds a slot for the service time and tells how the work ended. An error
// means that the work did not begin.
func (w *Worker) run(ctx context.Context, c echo.Context) (string, error) {
	defer func() { <-w.slots }()
	w.running.Add(1)
	defer w.running.Add(-1)
	e := event(c)
	e.Type = recorder.Begin
	if err := ctx.Err(); err != nil {
		return "", trace.Wrap(err)
	}
	if err := w.record(e); err != nil {
		return "", err
	}
	e.Type, e.Cause = recorder.End, "done"
	if err := w.hold(ctx, w.duration(e.Kind, time.Now())); err != nil {
		e.Cause = "canceled"
		if ctx.Err() == context.DeadlineExceeded {
			e.Cause = "late"
		}
	}
	_ = w.record(e)
	return e.Cause, nil
}

// event describes the request in a record.
func event(c echo.Context) recorder.Event {
	header := c.Request().Header
	return recorder.Event{
		Kind:      c.Param("kind"),
		Request:   header.Get("Request-Id"),
		Operation: header.Get("Oriole-Operation"),
	}
}

// duration draws a service time that begins now.
func (w *Worker) duration(kind string, now time.Time) time.Duration {
	mean, found := w.settings.MeanByKind[kind]
	if !found {
		mean = w.settings.MeanServiceTime
	}
	w.mu.Lock()
	normal := w.random.NormFloat64()
	w.mu.Unlock()
	sigma := w.settings.Sigma
	work := float64(mean) * w.settings.TimeScale * math.Exp(sigma*normal-sigma*sigma/2)
	work *= w.faults.factor(now)
	return w.neighbour.elapsed(time.Duration(work), now)
}

// hold sleeps for the duration or until the context ends.
func (*Worker) hold(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return trace.Wrap(ctx.Err())
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// refuse answers that the request did not run.
func (w *Worker) refuse(c echo.Context, s state) error {
	w.describe(c, s)
	return c.NoContent(http.StatusServiceUnavailable)
}

// respond sends the answer of finished work.
func (w *Worker) respond(c echo.Context, cause string) error {
	ctx := c.Request().Context()
	if err := w.faults.thawed(ctx); err != nil {
		return nil
	}
	if err := w.hold(ctx, w.faults.lateness()+w.settings.NetworkDelay); err != nil {
		return nil
	}
	w.describe(c, w.faults.state(time.Now()))
	if cause != "done" {
		return c.NoContent(http.StatusGatewayTimeout)
	}
	size, err := strconv.Atoi(c.Request().Header.Get("Answer-Size"))
	if err != nil || size < 0 || size > maxBody {
		size = 0
	}
	body := generator.Body(c.Request().Header.Get("Request-Id"), size)
	if w.faults.breaksOff() {
		return breakOff(c, body)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

// breakOff announces a whole body, sends half of it and closes the connection.
func breakOff(c echo.Context, body []byte) error {
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().WriteHeader(http.StatusOK)
	if _, err := c.Response().Write(body[:len(body)/2]); err != nil {
		return trace.Wrap(err)
	}
	c.Response().Flush()
	return listener.CloseConnection(c)
}
