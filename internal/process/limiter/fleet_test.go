package limiter

import (
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

const (
	// window, allowance and slack are the users' bound on the messages to a limited target:
	// allowance times the limit, and slack more, in any window.
	window    = 4 * time.Second
	allowance = 1.5
	slack     = 5
	// settles is the time from the first response with a limit until the bound holds.
	settles = 3 * time.Second
	step    = 10 * time.Millisecond
	// maxLag is the time within which all instances see a change of the fleet.
	maxLag = time.Second
	run    = "i-1/1"
)

// layout is the state of a simulated fleet from a moment on.
type layout struct {
	from time.Time
	// down holds the instances that do not run, part the part of the fleet that each
	// instance can reach. Instances of different parts see each other as failed.
	down map[int]bool
	part map[int]int
}

// simulated is an instance of a simulated fleet.
type simulated struct {
	*Limiter
	self lister.Instance
	lag  time.Duration
	// closed is when the instance may ask for a permit again.
	closed time.Time
}

// fleet simulates instances that all try to use one limited run, in virtual time.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	instances []*simulated
	layouts   []layout
	sent      []time.Time
	// owners holds the owner in the view of each instance, by layout and instance.
	owners map[[2]int]Owner
}

func newFleet(n int, seed int64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewSource(seed)), owners: map[[2]int]Owner{}}
	for k := range n {
		zone := string(rune('a' + k%3))
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(k % 3), byte(k >> 8), byte(k)}), 7000)
		f.instances = append(f.instances, &simulated{
			Limiter: New(), self: lister.Instance{Peer: peer, Zone: zone}, lag: time.Duration(f.random.Int63n(int64(maxLag))),
		})
	}
	f.change(layout{})
	return f
}

// change sets the layout from now on.
func (f *fleet) change(l layout) {
	l.from = f.now
	f.layouts = append(f.layouts, l)
}

// seen returns the index of the layout that an instance sees.
func (f *fleet) seen(i *simulated) int {
	at := 0
	for n, l := range f.layouts {
		if !l.from.After(f.now.Add(-i.lag)) {
			at = n
		}
	}
	return at
}

// owner returns the owner in the view of an instance.
func (f *fleet) owner(k int) Owner {
	i := f.instances[k]
	at := f.seen(i)
	if o, known := f.owners[[2]int{at, k}]; known {
		return o
	}
	l := f.layouts[at]
	var members []detector.Member
	for o, other := range f.instances {
		if o == k {
			continue
		}
		state := detector.Alive
		if l.down[o] || l.part[o] != l.part[k] {
			state = detector.Failed
		}
		members = append(members, detector.Member{Instance: other.self, State: state})
	}
	o := ChooseOwner(run, "a", detector.Member{Instance: i.self}, members)
	f.owners[[2]int{at, k}] = o
	return o
}

// tryToSend lets an instance send a message if it gets a permit.
func (f *fleet) tryToSend(k int) {
	i, l := f.instances[k], f.layouts[len(f.layouts)-1]
	if l.down[k] || f.now.Before(i.closed) {
		return
	}
	fact, wait := i.Fact(run, f.now), NotOwnerWait
	chosen := f.owner(k)
	for o, other := range f.instances {
		if other.self.Peer != chosen.Peer || l.down[o] || l.part[o] != l.part[k] {
			continue
		}
		if own := f.owner(o); own.Peer == other.self.Peer {
			p, _ := other.Grant(run, fact, own.Share, f.now)
			wait = p.Wait
		}
	}
	if wait == 0 {
		f.sent = append(f.sent, f.now)
		return
	}
	i.closed = f.now.Add(wait)
}

// advance lets time pass while each instance wants to send a message every interval.
func (f *fleet) advance(d, interval time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for k := range f.instances {
			if f.random.Int63n(int64(interval)) < int64(step) {
				f.tryToSend(k)
			}
		}
	}
}

func (f *fleet) mostInWindow(from time.Time) int {
	most := 0
	for k, first := range f.sent {
		n := 0
		for _, at := range f.sent[k:] {
			if at.Sub(first) < window {
				n++
			}
		}
		if !first.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a limit that instances keep one by one, so that their sum exceeds it: at
// several sizes of the fleet, while instances stop and start, while a zone is cut off,
// and while the fleet falls apart and comes together again.
func TestFleetKeepsTheLimitOfATarget(t *testing.T) {
	for _, n := range []int{16, 98, 472} {
		for _, rate := range []float64{0.3, 1.1, 6, 40} {
			t.Run(fmt.Sprintf("%d instances, %g per second", n, rate), func(t *testing.T) {
				f := newFleet(n, int64(n))
				for _, i := range f.instances {
					i.Receive(run, Fact{Rate: rate}, f.now)
				}
				start := f.now
				f.advance(8*time.Second, 300*time.Millisecond)
				calm := len(f.sent)
				require.Greater(t, float64(calm), 0.7*rate*8-2, "the limit is used")
				require.LessOrEqual(t, float64(calm), rate*8+2, "the limit is kept")

				down, zone, halves, thirds := map[int]bool{}, map[int]int{}, map[int]int{}, map[int]int{}
				for k := range n {
					down[k] = f.random.Intn(4) == 0
					zone[k] = min(k%3, 1)
					halves[k] = f.random.Intn(2)
					thirds[k] = f.random.Intn(3)
				}
				for _, l := range []layout{{down: down}, {}, {part: zone}, {}, {part: halves}, {part: thirds, down: down}, {}} {
					f.change(l)
					f.advance(3*time.Second, 300*time.Millisecond)
				}
				require.LessOrEqual(t, float64(f.mostInWindow(start.Add(settles))), allowance*rate*window.Seconds()+slack)
			})
		}
	}
}
