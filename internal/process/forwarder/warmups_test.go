package forwarder

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/request/admitter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

const coldRate = 3.5

// warmupFixture returns a forwarder of a service whose targets tolerate coldRate requests per
// second while they are cold, and one of its targets.
func warmupFixture(t *testing.T, o Options, cold time.Duration) (*Forwarder, placer.Target) {
	t.Helper()
	table := &router.Table{Version: 5, Services: []router.Service{{Name: "parts", HealthPath: "/healthz", WarmupRate: coldRate}}}
	require.NoError(t, table.Prepare())
	o.Budget = Budget{RetryWindow: time.Second, ProbeRate: 100, WarmupOvershoot: 1.5, WarmupSlack: 8}
	o.Table, o.FleetSize = func() *router.Table { return table }, fixedSize(2)
	o.Logger, o.Scope = log.NewNopLogger(), tally.NoopScope
	f := New(o)
	now := time.Now()
	u := registrar.UsableRun{Run: registrar.Run{Name: "i", Service: "parts", Zone: "a", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.1:1")}, WarmupEnd: now.Add(cold)}
	f.SetTargets(map[string][]registrar.UsableRun{"parts": {u}}, now)
	return f, placer.Target{ID: u.Key(), Zone: "a"}
}

// Guards against an owner that does not know yet that a run is cold: it must count as soon as
// another instance asks, and must not take the rate for a limit of the run, which would keep
// it unused for long after.
func TestOwnerLearnsOfAWarmupByARequestForAPermit(t *testing.T) {
	f, target := warmupFixture(t, Options{
		LimitOwner: func(string, string) (limiter.Owner, bool) { return limiter.Owner{Share: 1}, true },
	}, 0)
	now, granted := time.Now(), 0
	for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if p := f.GrantPermit(target.ID, "a", limiter.Fact{Rate: coldRate}, now); p.Wait == 0 {
			granted++
		}
	}
	require.LessOrEqual(t, float64(granted), 3*coldRate)
	require.Greater(t, float64(granted), 2*coldRate)
	require.Equal(t, limiter.Unlimited, f.limiter.Rate(target.ID), "it names no limit")
	require.False(t, f.admitter.Run(target.ID).Admit(admitter.Request, now).LastChoice)
	require.Equal(t, coldRate, f.limiter.Bound(target.ID, now))
	require.Equal(t, limiter.Unlimited, f.limiter.Bound(target.ID, now.Add(warmupHold)), "nobody asks any more")
}

// Guards against an owner of an older build, which takes the rate of a warm-up as a limit and
// answers with it, so that the asking instance would keep it as a limit when the run is warm.
func TestAnswerOfAnOlderOwnerIsNoLimit(t *testing.T) {
	older := limiter.New()
	f, target := warmupFixture(t, Options{
		LimitOwner: func(string, string) (limiter.Owner, bool) { return limiter.Owner{}, false },
		AskPermit: func(_ context.Context, _ netip.AddrPort, key, _ string, known limiter.Fact) (limiter.Permit, error) {
			p, _ := older.Grant(key, known, 1, time.Now())
			return p, nil
		},
	}, time.Minute)
	s := f.service("parts")
	for range 3 {
		s.permit(t.Context(), target)
	}
	require.Equal(t, coldRate, older.Rate(target.ID), "the owner keeps to it")
	require.Equal(t, limiter.Unlimited, f.limiter.Rate(target.ID))
	require.False(t, f.admitter.Run(target.ID).Admit(admitter.Request, time.Now()).LastChoice)
}

// Guards against permits where the settings ask for no bound, and against a bound that stays
// when the run is warm.
func TestWarmupNeedsTheBoundsOfTheSettings(t *testing.T) {
	f, target := warmupFixture(t, Options{}, time.Minute)
	now := time.Now()
	require.Equal(t, coldRate, f.limiter.Bound(target.ID, now))
	require.True(t, f.admitter.Run(target.ID).Cold(now))
	b := *f.budget.Load()
	b.WarmupOvershoot = 0
	f.SetBudget(b)
	u := registrar.UsableRun{Run: registrar.Run{Name: "i", Service: "parts"}, WarmupEnd: now.Add(time.Minute)}
	f.SetTargets(map[string][]registrar.UsableRun{"parts": {u}}, now)
	require.Equal(t, limiter.Unlimited, f.limiter.Bound(target.ID, now))
	require.False(t, f.admitter.Run(target.ID).Cold(now))
}

// manyRuns returns the runs of a number of targets.
func manyRuns(count int) []registrar.UsableRun {
	runs := []registrar.UsableRun{}
	for k := range count {
		runs = append(runs, registrar.UsableRun{Run: registrar.Run{
			Name: fmt.Sprint(k), Service: "parts", Zone: "a", Slots: 4, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+k)),
		}})
	}
	return runs
}

// Guards against a zone that comes back cold and keeps its callers busy: each of its targets
// says so at its next probe, and each time the instance went through all targets.
func TestWarmupOfOneRunCostsNoMoreThanThatRun(t *testing.T) {
	const targets, maxAllocations = 266, 20
	f, target := warmupFixture(t, Options{}, 0)
	now := time.Now()
	runs := manyRuns(targets)
	f.SetTargets(map[string][]registrar.UsableRun{"parts": runs}, now)
	cold := now.Add(3 * time.Second)
	allocations := testing.AllocsPerRun(10, func() { f.SetWarmup("parts", runs[7].Key(), cold, now) })
	require.LessOrEqual(t, allocations, float64(maxAllocations))
	require.True(t, f.admitter.Run(runs[7].Key()).Cold(now))
	require.False(t, f.admitter.Run(runs[8].Key()).Cold(now))
	f.SetWarmup("parts", runs[7].Key(), now, now)
	require.False(t, f.admitter.Run(runs[7].Key()).Cold(now), "it says that it is warm")
	f.SetWarmup("parts", target.ID, cold, now)
	require.True(t, f.admitter.Run(target.ID).Cold(now), "a run that is not listed any more")
}
