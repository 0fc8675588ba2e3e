package assembler

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/steerer"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// TestUpdateRetainsTargetsThatChangeOwner guards against calls that are rejected after
// a target gets another owner. Callers keep using the former owner until their address
// responses expire.
func TestUpdateRetainsTargetsThatChangeOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	svc := newServices("a", "ours").get("p", "s", now)
	target := netip.MustParseAddrPort("10.0.0.1:80")
	usable := []tracker.Target{{Address: target}}
	p := &resolver.Policy{Place: "p", Service: "s", Slots: 2, Connections: 10, Fleet: 2, HomesTTL: 5 * time.Second}
	first, second := &steerer.Plan{}, &steerer.Plan{}
	update := func(plan *steerer.Plan, owner bool, after time.Duration) bool {
		return svc.update(plan, p, usable, func() map[netip.AddrPort]bool {
			if owner {
				return map[netip.AddrPort]bool{target: true}
			}
			return nil
		}, now.Add(after))
	}
	owned := func(after time.Duration) bool { return svc.dispatcher.Snapshot(now.Add(after)).Targets[0].Owned }

	require.True(t, update(first, true, 0))
	require.True(t, owned(0))
	require.False(t, update(first, true, time.Minute), "an update without changes")
	require.True(t, update(second, false, time.Minute))
	require.True(t, owned(time.Minute), "callers still hold address responses that name this instance")
	require.False(t, update(second, false, time.Minute+propagationTime))
	require.True(t, update(second, false, time.Minute+propagationTime+p.HomesTTL), "the address responses have expired")
	require.False(t, owned(time.Minute+propagationTime+p.HomesTTL))
}
