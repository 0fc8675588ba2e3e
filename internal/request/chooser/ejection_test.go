package chooser

import (
	"net/netip"
	"testing"
	"time"
)

// An ejected target that answers a probe may still fail requests. The test fails
// if the probe admits more than one trial request, if a failed trial does not
// eject the target again, or if a probe changes a target that does not fail.
func TestProbedTargetIsOnTrial(t *testing.T) {
	tuning := DefaultTuning()
	origin := time.Unix(1000, 0)
	var candidates []Candidate
	for port := range uint16(6) {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1)
		candidates = append(candidates, Candidate{Target: NewTarget(address, "run", origin, &tuning), Limit: 3, Owned: true})
	}
	s := NewSet(candidates, 2, 0, origin, &tuning)
	failing := candidates[0].Target
	exclusion := func(now time.Time) Exclusion {
		_, e := s.limit(&s.Candidates[0], &Query{}, s.ticks(now))
		return e
	}
	failing.RecordFailure(1, 5*time.Second, origin)
	s.UpdateEjection()
	if e := exclusion(origin.Add(time.Second)); e != Ejected {
		t.Errorf("exclusion after the failure is %v, want ejected", e)
	}
	failing.AllowTrial(origin.Add(time.Second))
	if e := exclusion(origin.Add(time.Second)); e != OnTrial {
		t.Errorf("exclusion after the probe is %v, want on trial", e)
	}
	failing.RecordFailure(1, 5*time.Second, origin.Add(2*time.Second))
	if e := exclusion(origin.Add(3 * time.Second)); e != Ejected {
		t.Errorf("exclusion after the failed trial is %v, want ejected", e)
	}
	failing.RecordSuccess()
	s.UpdateEjection()
	failing.AllowTrial(origin.Add(3 * time.Second))
	if e := exclusion(origin.Add(3 * time.Second)); e == Ejected || e == OnTrial {
		t.Errorf("exclusion of a target that does not fail is %v, want neither ejected nor on trial", e)
	}
}
