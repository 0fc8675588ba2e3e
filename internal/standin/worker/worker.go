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

// maxBodyBytes bounds the header Answer-Size, the number of pattern bytes in a
// response. A larger or invalid size counts as 0.
const maxBodyBytes = 16 << 20

// Settings are the settings of one target.
type Settings struct {
	Address netip.AddrPort
	Place   string
	Service string
	Zone    string
	// Slots is the number of requests that run at a time, QueueCapacity the number
	// that may wait for a slot. The target sheds further requests.
	Slots, QueueCapacity int
	// MeanServiceTime and Sigma describe the log-normal distribution of service
	// times; Sigma is its shape. With Sigma 0 every request takes the mean.
	MeanServiceTime time.Duration
	Sigma           float64
	// MeanByKind overrides MeanServiceTime for single kinds.
	MeanByKind map[string]time.Duration
	// TimeScale multiplies service times, episodes and the gaps between them.
	TimeScale float64
	// Seed determines service times and episodes.
	Seed int64
	// NetworkDelay is the emulated one-way network delay to the target.
	NetworkDelay time.Duration
	// Noise describes the slow episodes of the target.
	Noise Noise
	// ColdStart is the duration of the cold start. 0 means that the target starts
	// warm.
	ColdStart time.Duration
}

// Worker is one target stand-in.
type Worker struct {
	settings Settings
	// start identifies this run of the target's process; Target-Start carries it.
	start string
	began time.Time
	// record holds the events of this target. With a recorder it holds only the
	// totals, since the recorder keeps the events.
	record *recorder.Record
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
	// lastReport is the load report computed last. The fault lag repeats it.
	lastReport report
}

// New returns a target that starts at now. It sends its events to the stream,
// which may be nil, and calls exit to end the process.
func New(s Settings, stream *recorder.Stream, exit func(int), now time.Time) *Worker {
	token := make([]byte, 8)
	_, _ = rand.Read(token)
	w := &Worker{
		settings:  s,
		start:     hex.EncodeToString(token),
		began:     now,
		record:    &recorder.Record{TotalsOnly: stream != nil},
		stream:    stream,
		exit:      exit,
		slots:     make(chan struct{}, s.Slots),
		neighbour: newNeighbour(s.Noise, s.TimeScale, s.Seed, now),
		random:    mathrand.New(mathrand.NewSource(s.Seed)),
	}
	if s.ColdStart > 0 {
		w.faults.startCold(defaultColdSlowdown, s.ColdStart, now)
	}
	return w
}

// Start returns the identifier of this run of the target's process.
func (w *Worker) Start() string { return w.start }

// Handler returns the routes of the target. Every path that is not a route of
// its own is work, and its first segment is the request kind.
func (w *Worker) Handler() http.Handler {
	e := listener.NewRouter()
	w.record.Register(e)
	e.GET("/health", w.health)
	listener.RegisterFaults(e, w.namedFaults())
	e.Any("/:kind", w.work)
	e.Any("/:kind/*", w.work)
	return e
}

// recordEvent sends an event to the stream, if there is one, and then adds it to the
// local record.
func (w *Worker) recordEvent(e recorder.Event) error {
	e.Time, e.Target, e.Start, e.Service = time.Now(), w.settings.Address.String(), w.start, w.settings.Service
	if w.stream != nil {
		if err := w.stream.Send(e); err != nil {
			return err
		}
	}
	w.record.Add(e)
	return nil
}

// health responds to health checks and probes.
func (w *Worker) health(c echo.Context) error {
	if c.Request().Header.Get("Oriole-Probe") != "" {
		if err := w.recordEvent(recorder.Event{Type: recorder.Probe}); err != nil {
			return err
		}
	}
	if err := w.sleep(c.Request().Context(), w.settings.NetworkDelay); err != nil {
		return nil
	}
	if err := w.faults.waitWhileFrozen(c.Request().Context()); err != nil {
		return nil
	}
	state := w.faults.state(time.Now())
	w.setHeaders(c, state)
	if state == draining || state == shedding {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// work handles one request from its arrival to its response.
func (w *Worker) work(c echo.Context) error {
	arrived := time.Now()
	ctx, cancel, err := requestContext(c.Request(), arrived)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	defer cancel()
	if err := w.sleep(ctx, w.settings.NetworkDelay); err != nil {
		return w.reject(c, shedding)
	}
	if err := w.faults.waitWhileFrozen(ctx); err != nil {
		return w.reject(c, shedding)
	}
	if done, err := w.applyFaults(c); done {
		return err
	}
	if err := w.acquireSlot(ctx); err != nil {
		return w.reject(c, shedding)
	}
	cause, err := w.run(ctx, c)
	if err != nil {
		return w.reject(c, shedding)
	}
	return w.respond(c, cause)
}

// requestContext returns the context of a request. Its deadline is the time left
// in the header Oriole-Deadline, counted from now.
func requestContext(r *http.Request, now time.Time) (context.Context, context.CancelFunc, error) {
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

// acquireSlot takes a slot. If none is free, the request waits in a queue of
// limited length, in the order of arrival.
func (w *Worker) acquireSlot(ctx context.Context) error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if w.queued.Add(1) > int64(w.settings.QueueCapacity) {
		w.queued.Add(-1)
		return trace.LimitExceeded("no free slot and the queue is full")
	}
	defer w.queued.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// run occupies the slot for the service time, releases it and returns the cause
// of the end: done, canceled or late. An error means that the work did not begin.
func (w *Worker) run(ctx context.Context, c echo.Context) (string, error) {
	defer func() { <-w.slots }()
	w.running.Add(1)
	defer w.running.Add(-1)
	e := newEvent(c)
	e.Type = recorder.Begin
	if err := ctx.Err(); err != nil {
		return "", trace.Wrap(err)
	}
	if err := w.recordEvent(e); err != nil {
		return "", err
	}
	e.Type, e.Cause = recorder.End, "done"
	if err := w.sleep(ctx, w.serviceTime(e.Kind, time.Now())); err != nil {
		e.Cause = "canceled"
		if ctx.Err() == context.DeadlineExceeded {
			e.Cause = "late"
		}
	}
	_ = w.recordEvent(e)
	return e.Cause, nil
}

// newEvent returns an event with the kind and ids of a request.
func newEvent(c echo.Context) recorder.Event {
	header := c.Request().Header
	return recorder.Event{
		Kind:      c.Param("kind"),
		Request:   header.Get("Request-Id"),
		Operation: header.Get("Oriole-Operation"),
	}
}

// serviceTime returns a random service time for work that starts at now.
func (w *Worker) serviceTime(kind string, now time.Time) time.Duration {
	mean, found := w.settings.MeanByKind[kind]
	if !found {
		mean = w.settings.MeanServiceTime
	}
	w.mu.Lock()
	normal := w.random.NormFloat64()
	w.mu.Unlock()
	sigma := w.settings.Sigma
	work := float64(mean) * w.settings.TimeScale * math.Exp(sigma*normal-sigma*sigma/2)
	work *= w.faults.slowdownAt(now)
	return w.neighbour.elapsed(time.Duration(work), now)
}

// sleep pauses for the duration. It fails if the context ends first.
func (*Worker) sleep(ctx context.Context, d time.Duration) error {
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

// reject responds with status 503, which means that the request did not run.
func (w *Worker) reject(c echo.Context, s state) error {
	w.setHeaders(c, s)
	return c.NoContent(http.StatusServiceUnavailable)
}

// respond sends the response of finished work. The status is 504 for work that
// was canceled or passed its deadline.
func (w *Worker) respond(c echo.Context, cause string) error {
	ctx := c.Request().Context()
	if err := w.faults.waitWhileFrozen(ctx); err != nil {
		return nil
	}
	if err := w.sleep(ctx, w.faults.currentResponseDelay()+w.settings.NetworkDelay); err != nil {
		return nil
	}
	w.setHeaders(c, w.faults.state(time.Now()))
	if cause != "done" {
		return c.NoContent(http.StatusGatewayTimeout)
	}
	size, err := strconv.Atoi(c.Request().Header.Get("Answer-Size"))
	if err != nil || size < 0 || size > maxBodyBytes {
		size = 0
	}
	body := generator.Body(c.Request().Header.Get("Request-Id"), size)
	if w.faults.truncatesResponses() {
		return sendHalf(c, body)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

// sendHalf sends half of the body that Content-Length announces and closes the
// connection.
func sendHalf(c echo.Context, body []byte) error {
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().WriteHeader(http.StatusOK)
	if _, err := c.Response().Write(body[:len(body)/2]); err != nil {
		return trace.Wrap(err)
	}
	c.Response().Flush()
	return listener.CloseConnection(c)
}
