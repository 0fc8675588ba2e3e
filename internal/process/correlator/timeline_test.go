package correlator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sampleLog is a log whose first line is not logfmt and whose second line has the prefix
// of a log collector. In the line "attempt failed" the time of day is an hour ahead of
// the other lines.
const sampleLog = `noise
 1.2 node-a level=info time=2026-01-01T00:00:10Z up=1s instance=a msg=started
level=info time=2026-01-01T00:00:11Z up=2s instance=a request=r1 msg=placed target=i-1
level=warn time=2026-01-01T00:00:11.5Z up=2.5s instance=a msg="target changed" target=i-1 state=leaving
level=warn time=2026-01-01T01:00:12Z up=3s instance=a request=r1 msg="attempt failed" effect=lost
level=info time=2026-01-01T00:00:13Z up=4s instance=a request=r2 msg=placed
level=warn time=2026-01-01T00:00:12.2Z up=3.2s instance=a request=r1 msg="request ended" outcome=unknown status=502
`

func printTimeline(t *testing.T, request string, around time.Duration) string {
	t.Helper()
	timeline := &Timeline{}
	skipped, err := timeline.Read(strings.NewReader(sampleLog))
	require.NoError(t, err)
	require.Equal(t, 1, skipped)
	b := &bytes.Buffer{}
	require.NoError(t, timeline.Print(b, request, around))
	return b.String()
}

// Ordered by time of day, the line "attempt failed" would come after "request ended".
func TestLinesAreInOrderAfterClockJump(t *testing.T) {
	text := printTimeline(t, "r1", 0)
	placed, failed, ended := strings.Index(text, "msg=placed"), strings.Index(text, "attempt failed"), strings.Index(text, "request ended")
	require.Positive(t, placed)
	require.Less(t, placed, failed)
	require.Less(t, failed, ended)
	require.NotContains(t, text, "r2")
	require.NotContains(t, text, "target changed")
	require.Contains(t, text, "1000.0 ms")
}

func TestNearbyLinesArePrinted(t *testing.T) {
	require.Contains(t, printTimeline(t, "r1", time.Second), "target changed")
}

func TestUnknownRequest(t *testing.T) {
	timeline := &Timeline{}
	require.ErrorContains(t, timeline.Print(&bytes.Buffer{}, "none", 0), `no line with request="none"`)
}
