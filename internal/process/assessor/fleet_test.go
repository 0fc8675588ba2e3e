package assessor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func incarnation(n byte) Incarnation {
	return Incarnation{Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), Number: uint64(n)}
}

var lookups = Costs{CPU: time.Millisecond, Bytes: 400}

// Guards against a deployment of equal instances that is served in another way because one
// of them is choked, or because some run an earlier build.
func TestEqualInstancesWeighTheSame(t *testing.T) {
	f := &Fleet{}
	equal := Resources{Cores: 0.32, Link: 125e6}
	f.Record(incarnation(1), Told{Resources: equal, Ease: 1}, start)
	f.Record(incarnation(2), Told{Resources: equal, Ease: 0.25}, start)
	require.Equal(t, []float64{0, 0, 0}, f.Weights([]Incarnation{incarnation(1), incarnation(2), incarnation(3)}, lookups, start))
}

// Guards against an ease that outlives its cause because the instance that told it cannot
// be heard, and against facts of an earlier incarnation at the same address.
func TestStaleFactsDoNotCount(t *testing.T) {
	f, strong, weak := &Fleet{}, Resources{Cores: 0.8, Link: 25e6}, Resources{Cores: 0.16, Link: 1.25e6}
	all := []Incarnation{incarnation(1), incarnation(2), incarnation(3)}
	f.Record(all[0], Told{Resources: strong, Ease: 0.5}, start)
	f.Record(all[1], Told{Resources: weak, Ease: 1}, start)
	require.InDeltaSlice(t, []float64{400, 160, 0}, f.Weights(all, lookups, start.Add(EaseTTL-1)), 1e-6)
	require.InDeltaSlice(t, []float64{800, 160, 0}, f.Weights(all, lookups, start.Add(EaseTTL)), 1e-6)
	f.Forget(Incarnation{Peer: all[0].Peer, Number: 9})
	next := Incarnation{Peer: all[0].Peer, Number: 9}
	require.Equal(t, 0.0, f.Weights([]Incarnation{next, all[1]}, lookups, start)[0], "nothing is known of the next incarnation")
	f.Forget(all[0])
	require.Equal(t, []float64{0, 0, 0}, f.Weights(all, lookups, start), "only the weak ones are known, and they are alike")
}
