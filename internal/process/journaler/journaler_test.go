package journaler

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// stalledWriter is a writer whose Write blocks until release is closed, like a
// standard output that nobody reads.
type stalledWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Buffer.Write(p)
}

// TestLogDoesNotBlockOnStalledWriter guards against a Log that waits for a stalled writer
// instead of omitting lines, and against a write that takes the whole buffer at once:
// the buffer then fills a second time, and twice as many lines are kept.
func TestLogDoesNotBlockOnStalledWriter(t *testing.T) {
	w := &stalledWriter{release: make(chan struct{})}
	now := time.Unix(0, 0)
	j := New(w, func() time.Time { now = now.Add(100 * time.Millisecond); return now }, tally.NoopScope)
	for k := range 3 * bufferLines {
		require.NoError(t, j.Log("msg", fmt.Sprintf("kind %d", k%200), "n", k))
	}
	// Warnings can still use the reserved part of the buffer.
	require.NoError(t, level.Warn(j).Log("msg", "severe"))
	for k := range 2 * bufferLines {
		require.NoError(t, level.Warn(j).Log("msg", fmt.Sprintf("kind %d", k%200), "n", k))
	}
	close(w.release)
	j.Close()
	// The bound of the written lines is one above the buffer and one batch. Of the lines
	// about omissions, about one for each of the 200 kinds is expected; the bound is twice
	// that number.
	omissionLines := strings.Count(w.String(), `msg="lines omitted"`)
	require.LessOrEqual(t, strings.Count(w.String(), "\n")-omissionLines, bufferLines+batchLines+1, "only the buffered lines and one batch must be written")
	require.LessOrEqual(t, omissionLines, 400, "the number of lines about omissions must stay bounded")
	require.Contains(t, w.String(), "msg=severe")
}

func TestEachKindHasItsRateLimit(t *testing.T) {
	w := &stalledWriter{release: make(chan struct{})}
	close(w.release)
	now := time.Unix(0, 0)
	j := New(w, func() time.Time { return now }, tally.NoopScope)
	for range 1000 {
		require.NoError(t, j.Log("msg", "often"))
	}
	require.NoError(t, j.Log("msg", "once"))
	j.logOmissions()
	j.Close()
	require.Equal(t, int(linesPerSecond*burstSeconds), strings.Count(w.String(), "msg=often"))
	require.Contains(t, w.String(), "msg=once")
	require.Contains(t, w.String(), `kind=often count=840`)
}

// BenchmarkLine measures how long Log takes for one line, with a writer that writes
// at once and with one that blocks.
func BenchmarkLine(b *testing.B) {
	for name, stall := range map[string]bool{"read": false, "stalled": true} {
		b.Run(name, func(b *testing.B) {
			w := &stalledWriter{release: make(chan struct{})}
			if !stall {
				close(w.release)
			}
			now := time.Unix(0, 0)
			// The clock advances by one second per line, so that the rate limit omits none.
			j := New(w, func() time.Time { now = now.Add(time.Second); return now }, tally.NoopScope)
			b.ReportAllocs()
			for b.Loop() {
				_ = level.Info(j).Log("request", "9c41d07be2a35f68", "msg", "placed", "service", "parts", "target", "i-1/1",
					"waited", time.Millisecond, "expected", 160*time.Millisecond, "age", time.Millisecond, "busy", 1, "late", false)
			}
			if stall {
				close(w.release)
			}
			j.Close()
		})
	}
}
