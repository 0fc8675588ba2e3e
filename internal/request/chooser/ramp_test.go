package chooser

import (
	"net/netip"
	"testing"
	"time"
)

// rampLimit returns how many requests a target may have outstanding whose run was
// first seen at the given time.
func rampLimit(since, now time.Time, warming bool) int {
	tuning := DefaultTuning()
	origin := now.Add(-time.Minute)
	c := Candidate{
		Target: NewTarget(netip.MustParseAddrPort("127.0.0.1:1"), "run", origin, &tuning),
		Limit:  10, Owned: true, Since: since, Warming: warming,
	}
	s := NewSet([]Candidate{c}, 2, 10*time.Second, origin, &tuning)
	limit, _ := s.limit(&s.Candidates[0], &Query{}, s.ticks(now))
	return limit
}

// A started target must not get its full load at once, and a target that ran long
// before it was first listed must not be treated as started.
func TestLimitAlongRamp(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		since   time.Time
		warming bool
		want    int
	}{
		{"just started", now, false, 1},
		{"half way", now.Add(-5 * time.Second), false, 5},
		{"at the end", now.Add(-10 * time.Second), false, 10},
		{"running for long", now.Add(-time.Hour), false, 10},
		{"running for long when first listed", time.Time{}, false, 10},
		{"still warming", now.Add(-time.Hour), true, 5},
	}
	for _, c := range tests {
		if got := rampLimit(c.since, now, c.warming); got != c.want {
			t.Errorf("%s: limit of %d requests, want %d", c.name, got, c.want)
		}
	}
}
