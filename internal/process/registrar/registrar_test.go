package registrar

import (
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func run(name string, startMs int64, leaving bool) Run {
	return Run{Name: name, StartMs: startMs, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Leaving: leaving}
}

func usableKeys(r *Registrar) []string {
	keys := []string{}
	for _, u := range r.Usable()["s"] {
		keys = append(keys, u.Key())
	}
	return keys
}

// A run that ended without notice must not get requests once a list omits it. Its entry
// may also expire while it is live; then a later list makes it usable again.
func TestOmittedRunIsGoneAtOnce(t *testing.T) {
	r, now := New(nil), time.Unix(0, 0)
	r.Apply(&List{Revision: 1, Runs: []Run{run("a", 1, false)}}, now)
	require.Equal(t, []string{"a/1"}, usableKeys(r))
	r.Apply(&List{Revision: 2}, now)
	require.Empty(t, usableKeys(r))
	r.Apply(&List{Revision: 3, Runs: []Run{run("a", 1, false)}}, now)
	require.Equal(t, []string{"a/1"}, usableKeys(r), "a run whose entry had expired is listed again")
}

// After an outage of the platform a list may lack live targets. Their runs must stay
// usable for the grace of the list, or the requests would have nowhere to go. A list of an older
// build names no grace; its omissions may be removals that were seen at once.
func TestRunOmittedAfterOutageStaysUsable(t *testing.T) {
	for _, c := range []struct {
		list  List
		grace time.Duration
	}{
		{List{Revision: 2, MayBeIncomplete: true, Grace: returnGrace}, returnGrace},
		{List{Revision: 2, MayBeIncomplete: true, Grace: 1100 * time.Millisecond}, 1100 * time.Millisecond},
		{List{Revision: 2, MayBeIncomplete: true, Grace: time.Hour}, returnGrace},
		{List{Revision: 2, MayBeIncomplete: true}, removalGrace(2 * time.Second)},
	} {
		r, now := New(nil), time.Unix(0, 0)
		r.Drain = 2 * time.Second
		r.Apply(&List{Revision: 1, Runs: []Run{run("a", 1, false)}}, now)
		require.Zero(t, r.NextExpiry())
		r.Apply(&c.list, now)
		require.Len(t, usableKeys(r), 1)
		r.Apply(&List{Revision: 3}, now.Add(time.Second))
		require.Len(t, usableKeys(r), 1, "a later list must not shorten the grace period")
		require.Equal(t, now.Add(c.grace), r.NextExpiry())
		require.False(t, r.Expire(now.Add(c.grace-1)))
		require.True(t, r.Expire(now.Add(c.grace)))
		require.Empty(t, usableKeys(r))
	}
}

// Lists lag behind the reports of peers, so a list may still show a leaving run as ready.
// A run that was once reported to be leaving must never become usable again, in whatever
// order lists and reports arrive. A new run of the same target is usable.
func TestLeavingRunNeverReturns(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		r, now := New(nil), time.Unix(0, 0)
		reportedLeaving := map[string]bool{}
		for revision := range uint64(60) {
			now = now.Add(time.Duration(random.Intn(900)) * time.Millisecond)
			l := &List{Revision: revision + 1, MayBeIncomplete: random.Intn(4) == 0}
			for k := range 3 {
				for startMs := range int64(2) {
					listedRun := run(fmt.Sprint(k), startMs, random.Intn(5) == 0)
					if random.Intn(2) == 0 {
						l.Runs = append(l.Runs, listedRun)
						reportedLeaving[listedRun.Key()] = reportedLeaving[listedRun.Key()] || listedRun.Leaving
					}
				}
			}
			r.Apply(l, now)
			if key := fmt.Sprintf("%d/%d", random.Intn(3), random.Intn(2)); random.Intn(8) == 0 && r.entries[key] != nil {
				r.MarkLeaving(key, "a peer", now)
				reportedLeaving[key] = true
			}
			r.Expire(now)
			for _, key := range usableKeys(r) {
				require.False(t, reportedLeaving[key], "seed %d: %s is usable again", seed, key)
			}
		}
	}
}

func TestDecode(t *testing.T) {
	l := &List{Revision: 4, Runs: []Run{run("a", 7, true)}}
	text, err := l.Encode()
	require.NoError(t, err)
	got, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, l, got)
	_, err = Decode([]byte(`{"runs":[]}`))
	require.Error(t, err)
	_, err = Decode([]byte(`x`))
	require.Error(t, err)
}
