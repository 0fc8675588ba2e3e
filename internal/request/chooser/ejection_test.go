package chooser

import (
	"net/netip"
	"testing"
	"time"
)

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
	bar := func(now time.Time) Bar {
		_, b := s.room(&s.Candidates[0], &Query{}, s.ticks(now))
		return b
	}
	failing.Fail(1, 5*time.Second, origin)
	s.Recount()
	if b := bar(origin.Add(time.Second)); b != Ejected {
		t.Errorf("bar %v after the failure", b)
	}
	failing.Try(origin.Add(time.Second))
	if b := bar(origin.Add(time.Second)); b != OnTrial {
		t.Errorf("bar %v after the probe", b)
	}
	failing.Fail(1, 5*time.Second, origin.Add(2*time.Second))
	if b := bar(origin.Add(3 * time.Second)); b != Ejected {
		t.Errorf("bar %v after the failed trial", b)
	}
	failing.Succeed()
	s.Recount()
	failing.Try(origin.Add(3 * time.Second))
	if b := bar(origin.Add(3 * time.Second)); b == Ejected || b == OnTrial {
		t.Errorf("bar %v of a target that works", b)
	}
}
