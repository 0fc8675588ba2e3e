package watcher

import (
	"cmp"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// inForce is the time within which a version must be in force.
const inForce = 5 * time.Second

// coarse is the resolution of the simulated time.
const coarse = 50 * time.Millisecond

// region is a connected part of a fleet, some of which the platform's network
// has cut off. Peers pass documents on at once and losses after a tick.
type region struct {
	machines []*machine
	members  []netip.AddrPort
	// cut holds the members that do not reach the platform; their calls time out.
	cut map[netip.AddrPort]bool
	// telling says that members tell each other that they lost the platform.
	telling bool
	able    []netip.AddrPort
	// alone is a broken variant: a member that lost the platform counts on no
	// reader but itself.
	alone bool
	// published is when the platform got the newest version, found when the
	// first member had it.
	published, found time.Time
	calls            int
}

func newRegion(size int, telling bool, seed int64) (*region, *rand.Rand) {
	random := rand.New(rand.NewSource(seed))
	r := &region{members: fleet(size), telling: telling, published: start, found: start}
	for _, v := range r.members {
		r.machines = append(r.machines, &machine{schedule: &Schedule{Self: v, Random: random.Float64}, due: start})
	}
	return r, random
}

func (r *region) view(m *machine) View {
	v := View{Members: r.members, Holding: true}
	if r.alone && m.schedule.Lost() {
		v.Members = []netip.AddrPort{m.schedule.Self}
	}
	if r.telling {
		v.Able = r.able
	}
	return v
}

// run advances the region and returns how long the newest version took to reach
// it, counted from its publication.
func (r *region) run(from time.Time, length time.Duration) time.Duration {
	for now := from; now.Before(from.Add(length)); now = now.Add(coarse) {
		if now.Sub(start)%tick == 0 {
			r.able = slices.DeleteFunc(slices.Clone(r.members), func(m netip.AddrPort) bool {
				return r.machines[slices.Index(r.members, m)].schedule.Lost()
			})
		}
		for _, m := range r.machines {
			r.advance(m, now)
		}
	}
	return r.found.Sub(r.published)
}

func (r *region) advance(m *machine, now time.Time) {
	pending := r.found.Before(r.published) && !now.Before(r.published)
	cut := r.cut[m.schedule.Self]
	if now.Before(m.due) && !(m.call == Watch && pending && !cut) {
		return
	}
	if m.call != None {
		result := Same
		switch {
		case cut:
			result = Failed
		case pending:
			result, r.found = News, now
		}
		m.call = None
		m.schedule.Finish(now, r.view(m), result)
	}
	d := m.schedule.Decide(now, r.view(m))
	if d.Call == None {
		m.due = now.Add(min(tick, d.Again.Sub(now)))
		return
	}
	r.calls++
	m.call, m.due = d.Call, now.Add(held(d.Call))
	if cut {
		m.due = now.Add(held(d.Call) + readTimeout)
	}
}

// cutOff cuts n members, in the order of the election, so that the readers and
// those next in line are cut first. Their calls in flight time out.
func (r *region) cutOff(n int) {
	order := slices.Clone(r.machines)
	slices.SortFunc(order, func(a, b *machine) int {
		return cmp.Compare(weight(b.schedule.Self, Settings), weight(a.schedule.Self, Settings))
	})
	r.cut = map[netip.AddrPort]bool{}
	for _, m := range order[:n] {
		r.cut[m.schedule.Self] = true
		if m.call != None {
			m.due = m.due.Add(readTimeout)
		}
	}
}

// delays publishes versions long after a cut, and one right after it, and
// returns the greatest delays of both.
func delays(size, cut int, telling bool) (settled, fresh time.Duration) {
	const settling, trials = 90 * time.Second, 4
	for trial := range trials {
		r, random := newRegion(size, telling, int64(trial+1))
		r.run(start, settling)
		r.cutOff(cut)
		now := start.Add(settling + time.Duration(random.Intn(100))*step)
		r.published = now
		fresh = max(fresh, r.run(now, settling))
		now = now.Add(settling + substitution + time.Duration(random.Intn(100))*step)
		r.run(start.Add(2*settling), now.Sub(start.Add(2*settling)))
		r.published = now
		settled = max(settled, r.run(now, settling))
	}
	return settled, fresh
}

// Readers that are cut off from the platform are replaced by members that reach
// it. Without word of the loss, the rare fallback reads take longer.
func TestCutReaders(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%5s %5s %8s %18s %18s\n", "fleet", "cut", "telling", "settled, at most", "fresh, at most")
	for _, size := range []int{16, 48} {
		for _, cut := range []int{0, Readers, size / 2, size - 1} {
			for _, telling := range []bool{true, false} {
				settled, fresh := delays(size, cut, telling)
				fmt.Fprintf(&table, "%5d %5d %8v %18s %18s\n", size, cut, telling, settled, fresh)
				if telling && settled > inForce {
					t.Errorf("fleet %d, %d cut: found after %s", size, cut, settled)
				}
				if !telling && cut == size-1 && settled <= inForce {
					t.Errorf("fleet %d, %d cut: found after %s without word of losses", size, cut, settled)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "cut", []byte(table.String()))
}

// When nobody reaches the platform, word of the losses does not turn the whole
// fleet into readers.
func TestAllLost(t *testing.T) {
	const length = 15 * time.Minute
	for _, v := range []struct {
		size        int
		alone, want bool
	}{{16, false, true}, {400, false, true}, {400, true, false}} {
		r, _ := newRegion(v.size, true, 1)
		r.alone = v.alone
		r.cutOff(v.size)
		r.run(start, length)
		mean := float64(r.calls) * float64(len(paths)) / length.Seconds()
		t.Logf("fleet %d, alone %v: %.2f calls/s", v.size, v.alone, mean)
		if within := mean <= goal/20; within != v.want {
			t.Errorf("within the bound: %v, want %v", within, v.want)
		}
	}
}
