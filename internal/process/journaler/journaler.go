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
	// bufferLines is the number of lines that can wait for a slow writer.
	bufferLines = 2048
	// reservedLines is the part of bufferLines that only warnings and errors can use.
	reservedLines = 512
	// batchLines is the maximum number of lines in one write.
	batchLines = 64
	// linesPerSecond and severeLinesPerSecond are the rate limits of one kind of line;
	// severeLinesPerSecond applies to warnings and errors. A burst can have as many
	// lines as the limit allows in burstSeconds. The first burst of a kind can have
	// linesPerSecond*burstSeconds lines, also of warnings and errors.
	linesPerSecond       = 40.0
	severeLinesPerSecond = 80.0
	burstSeconds         = 4.0
	// omissionInterval is the time between two reports of omitted lines.
	omissionInterval = time.Second
)

// Journaler is a log.Logger that omits the lines that it cannot write in time.
type Journaler struct {
	now     func() time.Time
	lines   chan []byte
	done    chan struct{}
	omitted tally.Counter

	mutex   sync.Mutex
	buckets map[string]*bucket
	closed  bool
}

// bucket is the token bucket that limits the rate of one kind of line.
type bucket struct {
	tokens   float64
	refilled time.Time
	omitted  int
}

// New returns a journaler that writes to w until Close is called.
func New(w io.Writer, now func() time.Time, scope tally.Scope) *Journaler {
	j := &Journaler{
		now: now, lines: make(chan []byte, bufferLines), done: make(chan struct{}),
		omitted: scope.Counter("lines_omitted"), buckets: map[string]*bucket{},
	}
	go j.write(w)
	return j
}

// Log implements log.Logger. It omits the line, without an error, if the line
// exceeds the rate limit of its kind or the buffer has no space for it. After Close
// it does nothing.
func (j *Journaler) Log(fields ...any) error {
	kind, severe := classify(fields)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.closed {
		return nil
	}
	b := j.buckets[kind]
	if b == nil {
		b = &bucket{refilled: j.now(), tokens: linesPerSecond * burstSeconds}
		j.buckets[kind] = b
	}
	if !b.takeToken(severe, j.now()) || !severe && len(j.lines) >= bufferLines-reservedLines {
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

// omit counts an omitted line of the kind that b limits.
func (j *Journaler) omit(b *bucket) {
	b.omitted++
	j.omitted.Inc(1)
}

// takeToken takes one token and reports whether the bucket had one. Lines that are
// severe refill it at the higher rate.
func (b *bucket) takeToken(severe bool, now time.Time) bool {
	rate := linesPerSecond
	if severe {
		rate = severeLinesPerSecond
	}
	b.tokens = min(rate*burstSeconds, b.tokens+rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// classify returns the kind of a line and whether it is a warning or an error.
func classify(fields []any) (kind string, severe bool) {
	for i := 0; i+1 < len(fields); i += 2 {
		switch fields[i] {
		case "msg":
			kind, _ = fields[i+1].(string)
		case level.Key():
			severe = fields[i+1] == level.WarnValue() || fields[i+1] == level.ErrorValue()
		}
	}
	return kind, severe
}

func format(fields []any) ([]byte, error) {
	buffer := &bytes.Buffer{}
	if err := log.NewLogfmtLogger(buffer).Log(fields...); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// write writes the buffered lines until j.lines is closed and empty. Until then it logs
// once per omissionInterval how many lines of each kind were omitted.
func (j *Journaler) write(w io.Writer) {
	defer close(j.done)
	ticker := time.NewTicker(omissionInterval)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-j.lines:
			if !open {
				return
			}
			// A write error is ignored, because it could only be reported in this log.
			_, _ = w.Write(j.appendWaiting(line))
		case <-ticker.C:
			j.logOmissions()
		}
	}
}

// appendWaiting appends up to batchLines-1 buffered lines to line, so that one write
// covers all of them.
func (j *Journaler) appendWaiting(line []byte) []byte {
	for range min(len(j.lines), batchLines-1) {
		select {
		case next := <-j.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

// logOmissions logs and resets the number of omitted lines of each kind.
func (j *Journaler) logOmissions() {
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

// Close writes the buffered lines and stops the journaler.
func (j *Journaler) Close() {
	j.mutex.Lock()
	if !j.closed {
		j.closed = true
		close(j.lines)
	}
	j.mutex.Unlock()
	<-j.done
}
