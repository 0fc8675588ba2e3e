package registrar

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func runIn(name, zone string) Run {
	x := run(name, 1, false)
	x.Zone = zone
	return x
}

// An operator empties a zone before work on it; a request that still reaches its targets is
// lost with them. A list of an older build says nothing of it and must not bring them back.
func TestEmptiedZoneGetsNothingUntilItIsTakenBack(t *testing.T) {
	r, now := New(nil), time.Unix(100, 0)
	r.Warmup = func(string) time.Duration { return 3 * time.Second }
	runs := []Run{runIn("a", "x"), runIn("b", "y"), runIn("c", "z")}
	apply := func(emptied []string) []ZoneChange {
		now = now.Add(time.Minute)
		return r.Apply(&List{Revision: 1, Emptied: emptied, Runs: runs}, now)
	}
	require.Empty(t, apply([]string{}))
	require.ElementsMatch(t, []string{"a/1", "b/1", "c/1"}, usableKeys(r))
	require.Equal(t, []ZoneChange{{Zone: "x", Emptied: true, Runs: 1}}, apply([]string{"x"}))
	require.ElementsMatch(t, []string{"b/1", "c/1"}, usableKeys(r))
	require.Equal(t, 1, r.Count()["s"][Emptied])
	require.Equal(t, 2, r.Count()["s"][Ready])
	require.Empty(t, apply(nil), "a list that says nothing of it")
	require.ElementsMatch(t, []string{"b/1", "c/1"}, usableKeys(r))

	// All zones, one after the other and together, given up in another order.
	apply([]string{"x", "y"})
	require.Equal(t, []string{"c/1"}, usableKeys(r))
	apply([]string{"x", "y", "z"})
	require.Empty(t, usableKeys(r))
	require.Equal(t, []string{"x", "y", "z"}, r.EmptiedZones())
	require.Equal(t, []ZoneChange{{Zone: "y", Runs: 1}}, apply([]string{"x", "z"}))
	require.Equal(t, []string{"b/1"}, usableKeys(r))
	require.Equal(t, now.Add(3*time.Second), r.Usable()["s"][0].WarmupEnd, "taken back, so cold")
	require.False(t, r.RecordWarmup("a/1", 0, now), "warm as before")
	require.Len(t, apply([]string{}), 2)
	require.Len(t, apply([]string{"x", "y", "z"}), 3)
	require.Len(t, apply([]string{}), 3)
	require.ElementsMatch(t, []string{"a/1", "b/1", "c/1"}, usableKeys(r))
	require.True(t, r.RecordWarmup("a/1", 0, now), "the run says that it is warm")
}

// A zone may be emptied that does not exist, or that has no target yet. A target that starts
// there, or returns after an outage, gets nothing either, and one that leaves stays so.
func TestRunsThatAppearInAnEmptiedZone(t *testing.T) {
	var changes []Change
	r, now := New(func(c Change) { changes = append(changes, c) }), time.Unix(100, 0)
	require.Equal(t, []ZoneChange{{Zone: "nowhere", Emptied: true}}, r.Apply(&List{Revision: 1, Emptied: []string{"nowhere"}}, now))
	r.Apply(&List{Revision: 2, Emptied: []string{"nowhere"}, Runs: []Run{runIn("a", "nowhere"), runIn("b", "x")}}, now)
	require.Equal(t, []string{"b/1"}, usableKeys(r))
	require.Len(t, changes, 2)
	for _, c := range changes {
		require.Equal(t, map[string]State{"nowhere": Emptied, "x": Ready}[c.Run.Zone], c.State)
	}
	r.Apply(&List{Revision: 3, MayBeIncomplete: true, Emptied: []string{"nowhere"}}, now)
	require.Equal(t, []string{"b/1"}, usableKeys(r), "an omitted run of an emptied zone")
	require.True(t, r.MarkLeaving("a/1", "itself", now))
	require.Equal(t, 1, r.Count()["s"][Leaving])
	r.Apply(&List{Revision: 4, Emptied: []string{}, Runs: []Run{runIn("a", "nowhere"), runIn("b", "x")}}, now)
	require.Equal(t, []string{"b/1"}, usableKeys(r), "a leaving run does not return with its zone")
}

// In whatever order zones are emptied and taken back, while runs start, leave and are omitted,
// no run of an emptied zone is usable, and each ready run of another zone is.
func TestUsableRunsFollowTheEmptiedZones(t *testing.T) {
	zones := []string{"x", "y", "z"}
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		r, now := New(nil), time.Unix(100, 0)
		emptied := map[string]bool{}
		for revision := range uint64(40) {
			now = now.Add(time.Duration(random.Intn(900)) * time.Millisecond)
			l := &List{Revision: revision + 1, MayBeIncomplete: random.Intn(4) == 0}
			want := map[string]bool{}
			if random.Intn(5) > 0 {
				l.Emptied, emptied = []string{}, map[string]bool{}
				for _, z := range zones {
					if random.Intn(3) == 0 {
						l.Emptied, emptied[z] = append(l.Emptied, z), true
					}
				}
			}
			for k := range 6 {
				if x := runIn(fmt.Sprint(k), zones[k%3]); random.Intn(4) > 0 {
					l.Runs, want[x.Key()] = append(l.Runs, x), !emptied[x.Zone]
				}
			}
			r.Apply(l, now)
			usable := map[string]bool{}
			for _, u := range r.Usable()["s"] {
				require.False(t, emptied[u.Zone], "seed %d: %s is usable in an emptied zone", seed, u.Key())
				usable[u.Key()] = true
			}
			for key, expected := range want {
				require.Equal(t, expected, usable[key], "seed %d: %s", seed, key)
			}
		}
	}
}

// An older build ignores the field and leaves it out. That must not read as no zone emptied.
func TestEmptiedZonesOnTheWire(t *testing.T) {
	for text, want := range map[string][]string{
		`{"revision":4,"runs":[]}`:                     nil,
		`{"revision":4,"emptied":[],"runs":[]}`:        {},
		`{"revision":4,"emptied":["a","b"],"runs":[]}`: {"a", "b"},
	} {
		l, err := Decode([]byte(text))
		require.NoError(t, err)
		require.Equal(t, want, l.Emptied)
		again, err := l.Encode()
		require.NoError(t, err)
		got, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, l, got)
	}
}
