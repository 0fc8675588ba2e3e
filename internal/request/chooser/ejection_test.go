package chooser

import (
	"net/netip"
	"testing"
	"time"
)

// An ejected target that answers a probe may still fail requests. The test fails
// if the probe admits more than one trial request, if a failed trial does not
// eject the target again, or if a probe of a target that works has an effect.
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
		t.Errorf("exclusion %v after the failure", e)
	}
	failing.AllowTrial(origin.Add(time.Second))
	if e := exclusion(origin.Add(time.Second)); e != OnTrial {
		t.Errorf("exclusion %v after the probe", e)
	}
	failing.RecordFailure(1, 5*time.Second, origin.Add(2*time.Second))
	if e := exclusion(origin.Add(3 * time.Second)); e != Ejected {
		t.Errorf("exclusion %v after the failed trial", e)
	}
	failing.RecordSuccess()
	s.UpdateEjection()
	failing.AllowTrial(origin.Add(3 * time.Second))
	if e := exclusion(origin.Add(3 * time.Second)); e == Ejected || e == OnTrial {
		t.Errorf("exclusion %v of a target that works", e)
	}
}
