package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The store returns from a copy that lacks a live target, shows a leaving one as ready and a
// target that has ended as listed. The first must stay usable until its entry is back, the
// others must not get requests.
func TestCopyOfTheStoreNeitherRemovesNorRevivesRuns(t *testing.T) {
	r, now := New(nil), time.Unix(100, 0)
	copied := func(x Run) Run { x.Copied = true; return x }
	live, leaving, ended := run("live", 1, false), run("leaving", 1, false), run("ended", 1, false)
	r.Apply(&List{Revision: 10, Era: 1, Runs: []Run{live, leaving, ended}}, now)
	leavingNow := leaving
	leavingNow.Leaving = true
	r.Apply(&List{Revision: 20, Era: 1, Runs: []Run{live, leavingNow}}, now)
	require.Equal(t, []string{"live/1"}, usableKeys(r))

	now = now.Add(5 * time.Second)
	r.Apply(&List{Revision: 30, Era: 2, Runs: []Run{copied(leaving), copied(ended)}}, now)
	require.Equal(t, []string{"live/1"}, usableKeys(r), "also if the reader does not know that the store has returned")
	now = now.Add(time.Second)
	r.Apply(&List{Revision: 31, Era: 2, Runs: []Run{live, copied(leaving), copied(ended)}}, now)
	require.False(t, r.Expire(now.Add(omissionGrace)))
	require.Equal(t, []string{"live/1"}, usableKeys(r))

	r.Apply(&List{Revision: 32, Era: 2, Runs: []Run{live, leaving, ended}}, now)
	require.ElementsMatch(t, []string{"live/1", "ended/1"}, usableKeys(r), "a run that writes its entry again lives")
	r.Apply(&List{Revision: 33, Era: 2, Runs: []Run{live}}, now.Add(omissionGrace))
	require.Equal(t, []string{"live/1"}, usableKeys(r), "omissions count again")
}

// A run that a copy lists although it ended is usable after restoreTime: by then the store
// has dropped the entries of targets that are silent.
func TestCopiedEntryCountsInTheEnd(t *testing.T) {
	r, now := New(nil), time.Unix(100, 0)
	x := run("a", 1, false)
	r.Apply(&List{Revision: 10, Runs: []Run{x}}, now)
	r.Apply(&List{Revision: 11}, now)
	x.Copied = true
	r.Apply(&List{Revision: 12, Era: 1, Runs: []Run{x}}, now)
	require.Empty(t, usableKeys(r))
	r.Apply(&List{Revision: 13, Era: 1, Runs: []Run{x}}, now.Add(restoreTime))
	require.Equal(t, []string{"a/1"}, usableKeys(r))
}

// The copy lacks the word of the operators that a zone is emptied, or the one that takes it
// back. Nothing may go to the zone until they have said so in the new era.
func TestCopyOfTheStoreTakesNoZoneBack(t *testing.T) {
	r, now := New(nil), time.Unix(100, 0)
	runs := []Run{runIn("a", "x"), runIn("b", "y"), runIn("c", "z")}
	apply := func(era uint64, emptied ...string) []ZoneChange {
		now = now.Add(time.Second)
		return r.Apply(&List{Revision: 1, Era: era, Emptied: append([]string{}, emptied...), Runs: runs}, now)
	}
	apply(1, "x", "y")
	require.Equal(t, []ZoneChange{{Zone: "z", Emptied: true, Runs: 1}}, apply(2, "z"), "x and y are held, z follows the copy")
	require.Empty(t, usableKeys(r))
	apply(2, "x", "z")
	require.Equal(t, []ZoneChange{{Zone: "x", Runs: 1}, {Zone: "z", Runs: 1}}, apply(2))
	require.ElementsMatch(t, []string{"a/1", "c/1"}, usableKeys(r))
	apply(3, "x")
	apply(4)
	require.Equal(t, []string{"x", "y"}, r.EmptiedZones())
	r.Apply(&List{Revision: 1, Era: 4, Emptied: []string{}, TakenBack: []string{"x"}, Runs: runs}, now)
	require.Equal(t, []string{"y"}, r.EmptiedZones(), "held in the next era too")
	require.Empty(t, r.ExpireZones(now.Add(restoreTime-1)))
	require.Equal(t, []ZoneChange{{Zone: "y", Runs: 1}}, r.ExpireZones(now.Add(restoreTime)))
	require.Empty(t, r.ExpireZones(now.Add(restoreTime)))
	require.Len(t, usableKeys(r), 3)
}
