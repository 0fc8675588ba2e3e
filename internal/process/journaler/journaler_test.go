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
	// Warnings still have room.
	require.NoError(t, level.Warn(j).Log("msg", "grave"))
	close(w.release)
	j.Close()
	lines := strings.Count(w.String(), "\n")
	require.LessOrEqual(t, lines, capacity+10)
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
