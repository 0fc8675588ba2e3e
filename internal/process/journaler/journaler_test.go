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

// stalled is a reader of standard output that reads nothing until it is released.
type stalled struct {
	release chan struct{}
	mutex   sync.Mutex
	bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Buffer.Write(p)
}

func TestStalledWriterCostsLinesAndBlocksNobody(t *testing.T) {
	w := &stalled{release: make(chan struct{})}
	now := time.Unix(0, 0)
	j := New(w, func() time.Time { now = now.Add(100 * time.Millisecond); return now }, tally.NoopScope)
	for k := range 3 * capacity {
		require.NoError(t, j.Log("msg", fmt.Sprintf("kind %d", k%200), "n", k))
	}
	// Warnings still have room, up to a bound.
	require.NoError(t, level.Warn(j).Log("msg", "grave"))
	for k := range 2 * capacity {
		require.NoError(t, level.Warn(j).Log("msg", fmt.Sprintf("kind %d", k%200), "n", k))
	}
	close(w.release)
	j.Close()
	told := strings.Count(w.String(), `msg="lines omitted"`)
	require.LessOrEqual(t, strings.Count(w.String(), "\n")-told, capacity+batch+1, "the lines that wait, and those being written")
	require.LessOrEqual(t, told, 400, "one for each kind")
	require.Contains(t, w.String(), "msg=grave")
}

func TestEachKindHasItsRate(t *testing.T) {
	w := &stalled{release: make(chan struct{})}
	close(w.release)
	now := time.Unix(0, 0)
	j := New(w, func() time.Time { return now }, tally.NoopScope)
	for range 1000 {
		require.NoError(t, j.Log("msg", "often"))
	}
	require.NoError(t, j.Log("msg", "once"))
	j.tell()
	j.Close()
	require.Equal(t, int(rate*burst), strings.Count(w.String(), "msg=often"))
	require.Contains(t, w.String(), "msg=once")
	require.Contains(t, w.String(), `kind=often count=840`)
}

// BenchmarkLine measures what one line costs the one who logs, with a reader that
// reads and one that does not.
func BenchmarkLine(b *testing.B) {
	for name, stall := range map[string]bool{"read": false, "stalled": true} {
		b.Run(name, func(b *testing.B) {
			w := &stalled{release: make(chan struct{})}
			if !stall {
				close(w.release)
			}
			now := time.Unix(0, 0)
			// Each line comes a second after the one before, so that no rate holds it back.
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
