package journaler

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// capacity is the number of lines that wait for a slow reader.
	capacity = 2048
	// reserved is the part of them that only lines of warnings and errors use.
	reserved = 512
	// batch is the number of lines that are written at once.
	batch = 64
	// rate and burst bound the lines of one kind per second; warnings get warnRate.
	rate     = 40.0
	warnRate = 80.0
	burst    = 4.0
	// tellEvery is the time between two lines on omissions.
	tellEvery = time.Second
)

// Journaler is a log.Logger that drops what it cannot write in time.
type Journaler struct {
	now     func() time.Time
	lines   chan []byte
	done    chan struct{}
	omitted tally.Counter

	mutex   sync.Mutex
	buckets map[string]*bucket
	closed  bool
}

// bucket bounds the lines of one kind.
type bucket struct {
	tokens  float64
	filled  time.Time
	omitted int
}

// New returns a journaler that writes to w until Close.
func New(w io.Writer, now func() time.Time, scope tally.Scope) *Journaler {
	j := &Journaler{
		now: now, lines: make(chan []byte, capacity), done: make(chan struct{}),
		omitted: scope.Counter("lines_omitted"), buckets: map[string]*bucket{},
	}
	go j.write(w)
	return j
}

// Log implements log.Logger. The value of msg names the kind of line.
func (j *Journaler) Log(fields ...any) error {
	kind, grave := describe(fields)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.closed {
		return nil
	}
	b := j.buckets[kind]
	if b == nil {
		b = &bucket{filled: j.now(), tokens: rate * burst}
		j.buckets[kind] = b
	}
	if !b.take(grave, j.now()) || !grave && len(j.lines) >= capacity-reserved {
		j.omit(b)
		return nil
	}
	line, err := format(fields)
	if err != nil {
		return err
	}
	select {
	case j.lines <- line:
	default:
		j.omit(b)
	}
	return nil
}

func (j *Journaler) omit(b *bucket) {
	b.omitted++
	j.omitted.Inc(1)
}

func (b *bucket) take(grave bool, now time.Time) bool {
	r := rate
	if grave {
		r = warnRate
	}
	b.tokens = min(r*burst, b.tokens+r*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func describe(fields []any) (kind string, grave bool) {
	for i := 0; i+1 < len(fields); i += 2 {
		switch fields[i] {
		case "msg":
			kind, _ = fields[i+1].(string)
		case level.Key():
			grave = fields[i+1] == level.WarnValue() || fields[i+1] == level.ErrorValue()
		}
	}
	return kind, grave
}

func format(fields []any) ([]byte, error) {
	b := &bytes.Buffer{}
	if err := log.NewLogfmtLogger(b).Log(fields...); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// write passes lines on and tells once in a while what was left out.
func (j *Journaler) write(w io.Writer) {
	defer close(j.done)
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-j.lines:
			if !open {
				return
			}
			// There is nobody left to tell of a writer that fails.
			_, _ = w.Write(j.gather(line))
		case <-ticker.C:
			j.tell()
		}
	}
}

// gather joins the lines that wait, to write them at once.
func (j *Journaler) gather(line []byte) []byte {
	for range min(len(j.lines), batch-1) {
		select {
		case next := <-j.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

func (j *Journaler) tell() {
	j.mutex.Lock()
	omitted := map[string]int{}
	for kind, b := range j.buckets {
		if b.omitted > 0 {
			omitted[kind] = b.omitted
			b.omitted = 0
		}
	}
	j.mutex.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(omitted)) {
		_ = level.Warn(j).Log("msg", "lines omitted", "kind", kind, "count", omitted[kind])
	}
}

// Close writes what waits and stops.
func (j *Journaler) Close() {
	j.mutex.Lock()
	if !j.closed {
		j.closed = true
		close(j.lines)
	}
	j.mutex.Unlock()
	<-j.done
}
