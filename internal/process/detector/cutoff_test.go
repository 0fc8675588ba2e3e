package detector

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that are sent to an instance which reaches no target, and against
// an instance that stays marked after its cut has ended or its process has started again.
func TestCutOffIsSeenByAllAndEnds(t *testing.T) {
	for _, n := range []int{4, 16, 98} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := convergedFleet(1, n, "a", "b", "c")
			seen := func() int {
				count := 0
				for _, p := range f.latest {
					for _, m := range p.Members() {
						if m.CutOff {
							count++
						}
					}
				}
				return count
			}
			set := func(p *process, cutOff bool) {
				for _, o := range p.SetCutOff(cutOff, f.now) {
					f.inFlight = append(f.inFlight, inFlightPacket{at: f.now, outgoing: o})
				}
			}
			var cut []*process
			for k := range max(3, n/3) {
				cut = append(cut, f.at(k))
			}
			for _, p := range cut {
				set(p, true)
				require.Empty(t, p.SetCutOff(true, f.now), "nothing new to tell")
			}
			f.advance(20 * time.Second)
			require.Equal(t, len(cut)*(n-1), seen())

			// An instance that joins learns it from the others. One that is killed and starts
			// again is no longer cut off.
			f.start(n)
			f.kill(2)
			f.advance(time.Second)
			f.start(2)
			f.advance(40 * time.Second)
			require.Equal(t, (len(cut)-1)*n, seen())
			for k, p := range cut {
				if k != 2 {
					set(p, false)
				}
			}
			f.advance(40 * time.Second)
			require.Zero(t, seen())
		})
	}
}

// Guards against an old statement that arrives late.
func TestOldStatementDoesNotCutOff(t *testing.T) {
	now := startTime
	self := netip.MustParseAddrPort("10.0.0.1:1")
	d := New(Options{Self: Member{Incarnation: 1}, Random: func() uint64 { return 1 }}, now)
	m := Member{Incarnation: 7, Revision: 2}
	m.Instance.Peer = self
	d.apply(m, now)
	m.Revision, m.CutOff = 1, true
	d.apply(m, now)
	require.False(t, d.Members()[0].CutOff)
	m.Revision = 3
	d.apply(m, now)
	require.True(t, d.Members()[0].CutOff)
}
