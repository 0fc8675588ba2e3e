package assembler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// TestHorizonOutlivesSettings lowers the times of the settings: what the earlier
// ones have allowed still holds.
func TestHorizonOutlivesSettings(t *testing.T) {
	tree := func(keep, deadline time.Duration) *resolver.Snapshot {
		return &resolver.Snapshot{Policies: map[resolver.Key]*resolver.Policy{{}: {HomesTTL: keep, Deadline: deadline}}}
	}
	start := time.Unix(1000, 0)
	after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	h := &horizon{}
	h.change(tree(30*time.Second, 20*time.Second), start)
	h.change(tree(time.Second, 2*time.Second), after(10))
	for _, test := range []struct{ now, kept, due int }{{11, 40, 30}, {29, 40, 31}, {60, 61, 62}} {
		kept, due := h.at(after(test.now))
		require.Equal(t, after(test.kept), kept, test)
		require.Equal(t, after(test.due), due, test)
	}
	broken := &horizon{current: h.current}
	kept, due := broken.at(after(11))
	require.False(t, kept.Equal(after(40)) || due.Equal(after(30)), "the settings in force alone do not tell")
}
