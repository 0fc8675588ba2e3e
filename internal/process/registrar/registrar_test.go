package registrar

import (
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func run(name string, born int64, leaving bool) Run {
	return Run{Name: name, StartMs: born, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Leaving: leaving}
}

func usable(r *Registrar) []string {
	keys := []string{}
	for _, u := range r.Usable()["s"] {
		keys = append(keys, u.Key())
	}
	return keys
}

func TestOmittedRunIsGoneAtOnce(t *testing.T) {
	r, now := New(nil), time.Unix(0, 0)
	r.Apply(&List{Revision: 1, Runs: []Run{run("a", 1, false)}}, now)
	require.Equal(t, []string{"a/1"}, usable(r))
	r.Apply(&List{Revision: 2}, now)
	require.Empty(t, usable(r))
	r.Apply(&List{Revision: 3, Runs: []Run{run("a", 1, false)}}, now)
	require.Equal(t, []string{"a/1"}, usable(r), "an entry that had lapsed is back")
}

func TestRunThatAnUnsettledListOmitsStaysForAWhile(t *testing.T) {
	r, now := New(nil), time.Unix(0, 0)
	r.Apply(&List{Revision: 1, Runs: []Run{run("a", 1, false)}}, now)
	r.Apply(&List{Revision: 2, MayBeIncomplete: true}, now)
	require.Len(t, usable(r), 1)
	r.Apply(&List{Revision: 3}, now.Add(time.Second))
	require.Len(t, usable(r), 1, "a later list does not shorten it")
	require.False(t, r.Expire(now.Add(returning-1)))
	require.True(t, r.Expire(now.Add(returning)))
	require.Empty(t, usable(r))
}

// Whatever is told in whatever order, a run that was said to be leaving is never
// usable again; a new start is.
func TestLeavingRunNeverReturns(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		r, now := New(nil), time.Unix(0, 0)
		left := map[string]bool{}
		for revision := range uint64(60) {
			now = now.Add(time.Duration(random.Intn(900)) * time.Millisecond)
			l := &List{Revision: revision + 1, MayBeIncomplete: random.Intn(4) == 0}
			for k := range 3 {
				for born := range int64(2) {
					x := run(fmt.Sprint(k), born, random.Intn(5) == 0)
					if random.Intn(2) == 0 {
						l.Runs = append(l.Runs, x)
						left[x.Key()] = left[x.Key()] || x.Leaving
					}
				}
			}
			r.Apply(l, now)
			if key := fmt.Sprintf("%d/%d", random.Intn(3), random.Intn(2)); random.Intn(8) == 0 && r.entries[key] != nil {
				r.MarkLeaving(key, "a peer", now)
				left[key] = true
			}
			r.Expire(now)
			for _, key := range usable(r) {
				require.False(t, left[key], "seed %d: %s is usable again", seed, key)
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
