package relayer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFindTargetsReturnsThePeersOffers(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	client, server := nodes[0], nodes[1]
	want := []TargetOffer{{Target: "i-1/2", Running: 1, Waiting: 2, Slots: 3, Slowdown: 1.5}}
	server.options.OfferTargets = func(_ context.Context, service string) []TargetOffer {
		if service != "parts" {
			return nil
		}
		return want
	}
	got, err := client.FindTargets(t.Context(), server.options.Self.Peer, "parts")
	require.NoError(t, err)
	require.Equal(t, want, got)
	got, err = client.FindTargets(t.Context(), server.options.Self.Peer, "others")
	require.NoError(t, err)
	require.Empty(t, got)
	got, err = server.FindTargets(t.Context(), client.options.Self.Peer, "parts")
	require.NoError(t, err)
	require.Empty(t, got, "an instance without OfferTargets must return no offers")
}
