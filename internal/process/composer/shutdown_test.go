package composer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAcceptTime guards against an instance that reads requests for so long in a stop that they
// may be cut off: for more than half of a short grace period, or for three seconds or more.
func TestAcceptTime(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		accept := acceptTime(grace)
		require.Positive(t, accept)
		require.LessOrEqual(t, accept, grace/2)
		require.Less(t, accept, 3*time.Second)
	}
}
