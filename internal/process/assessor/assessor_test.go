package assessor

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// Guards against a weak instance that counts like a strong one: with short lookups the
// processor decides, with large responses the link.
func TestTheScarcerResourceDecides(t *testing.T) {
	strong, weak := Resources{Cores: 0.8, Link: 25e6}, Resources{Cores: 0.16, Link: 1.25e6}
	lookups, bundles := Costs{CPU: time.Millisecond, Bytes: 400}, Costs{CPU: time.Millisecond, Bytes: 90_000}
	require.InDelta(t, 5, strong.Capacity(lookups)/weak.Capacity(lookups), 1e-9)
	require.InDelta(t, 20, strong.Capacity(bundles)/weak.Capacity(bundles), 1e-9)
	require.Zero(t, Resources{Cores: 1}.Capacity(lookups), "an unknown resource")
}

// Guards against costs of one request that stands for all, and against costs of a mix of
// requests that has long passed.
func TestCostsFollowTheMix(t *testing.T) {
	a := &Assessor{Resources: Resources{Cores: 1, Link: 1e9}}
	require.Equal(t, Costs{CPU: priorCPU, Bytes: priorBytes}, a.Costs())
	u, now := Usage{}, start
	serve := func(seconds int, bytes uint64, cpu time.Duration) {
		for range seconds {
			now = now.Add(time.Second)
			u.Requests, u.Bytes, u.CPU = u.Requests+100, u.Bytes+100*bytes, u.CPU+100*cpu
			a.Record(u, now)
		}
	}
	a.Record(u, now)
	serve(1, 100_000, 5*time.Millisecond)
	require.Less(t, a.Costs().Bytes, 50_000.0)
	serve(100, 100_000, 5*time.Millisecond)
	require.InEpsilon(t, 100_000, a.Costs().Bytes, 0.06)
	require.InEpsilon(t, 5*time.Millisecond, a.Costs().CPU, 0.06)
	serve(200, 1000, time.Millisecond)
	require.Less(t, a.Costs().Bytes, 5000.0)
}

// Guards against an instance that is named as often as others while it is choked, by its
// processor, its link or the scheduler, and against one that flaps.
func TestAChokedInstanceHasLessEase(t *testing.T) {
	for name, step := range map[string]func(a *Assessor, u *Usage){
		"processor": func(_ *Assessor, u *Usage) { u.CPU += 155 * time.Millisecond },
		"link":      func(_ *Assessor, u *Usage) { u.Bytes += 1_240_000 },
		"scheduler": func(a *Assessor, _ *Usage) { a.RecordLateness(150 * time.Millisecond); a.RecordLateness(0) },
	} {
		a, u, now := &Assessor{Resources: Resources{Cores: 0.16, Link: 1.25e6}}, Usage{}, start
		next := func() {
			now = now.Add(time.Second)
			a.Record(u, now)
		}
		next()
		next()
		require.Equal(t, 1.0, a.Ease(), name)
		step(a, &u)
		next()
		require.Equal(t, 0.25, a.Ease(), name)
		next()
		next()
		require.Equal(t, 0.25, a.Ease(), "%s: the level holds for a while", name)
		for range 4 {
			next()
		}
		require.Equal(t, 1.0, a.Ease(), name)
	}
}

// Guards against an ease that a busy, healthy instance loses.
func TestABusyInstanceKeepsItsEase(t *testing.T) {
	a, u := &Assessor{Resources: Resources{Cores: 0.16, Link: 1.25e6}}, Usage{}
	for k := range 20 {
		u.CPU, u.Bytes = u.CPU+110*time.Millisecond, u.Bytes+900_000
		a.RecordLateness(10 * time.Millisecond)
		a.Record(u, start.Add(time.Duration(k)*time.Second))
		require.Equal(t, 1.0, a.Ease())
	}
}

// Guards against resources of an instance that are no finite numbers: with one such instance, the
// directory named none to callers.
func TestResourcesWithoutSenseAreUnknown(t *testing.T) {
	for _, n := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64} {
		require.Zero(t, Resources{Cores: n, Link: 1e6}.Capacity(Costs{}), n)
		require.Zero(t, Resources{Cores: 1, Link: n}.Capacity(Costs{}), n)
	}
}
