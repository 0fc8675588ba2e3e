package relayer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFindAsksOnBehalfOfAPeer(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	asking, asked := nodes[0], nodes[1]
	want := []TargetOffer{{Target: "i-1/2", Running: 1, Waiting: 2, Slots: 3, Slowdown: 1.5}}
	asked.options.Find = func(_ context.Context, service string) []TargetOffer {
		if service != "parts" {
			return nil
		}
		return want
	}
	got, err := asking.FindTargets(t.Context(), asked.options.Self.Peer, "parts")
	require.NoError(t, err)
	require.Equal(t, want, got)
	got, err = asking.FindTargets(t.Context(), asked.options.Self.Peer, "others")
	require.NoError(t, err)
	require.Empty(t, got)
	got, err = asked.FindTargets(t.Context(), asking.options.Self.Peer, "parts")
	require.NoError(t, err)
	require.Empty(t, got, "an instance that cannot look for room finds none")
}
