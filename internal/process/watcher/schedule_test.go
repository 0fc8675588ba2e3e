package watcher

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sebdah/goldie/v2"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func member(i int) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], 0x0a000001+uint32(i))
	return netip.AddrPortFrom(netip.AddrFrom4(b), 7000)
}

func fleet(n int) []netip.AddrPort {
	var members []netip.AddrPort
	for i := range n {
		members = append(members, member(i))
	}
	return members
}

// electionFunc is the type of Elected and of its broken variants.
type electionFunc func(self netip.AddrPort, members []netip.AddrPort, kind Kind) bool

// readers returns the elected members.
func readers(e electionFunc, members []netip.AddrPort, kind Kind) []netip.AddrPort {
	var found []netip.AddrPort
	for _, m := range members {
		if e(m, members, kind) {
			found = append(found, m)
		}
	}
	return found
}

// electionProperty states that ReaderCount members are elected, whatever the order of
// the members, and that the loss of one member leaves every other reader elected.
func electionProperty(e electionFunc) gopter.Prop {
	return prop.ForAll(func(size int, seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		members := fleet(size)
		random.Shuffle(size, func(i, j int) { members[i], members[j] = members[j], members[i] })
		before := readers(e, members, Settings)
		if len(before) != min(ReaderCount, size) {
			return false
		}
		lost := random.Intn(size)
		after := readers(e, slices.Delete(slices.Clone(members), lost, lost+1), Settings)
		for _, m := range before {
			if m != members[lost] && !slices.Contains(after, m) {
				return false
			}
		}
		return true
	}, gen.IntRange(1, 60), gen.Int64())
}

// An election that depends on the order of the members, or that changes with each loss
// of a member, would replace readers needlessly; too many readers would load the
// platform. Broken elections must fail the property.
func TestElection(t *testing.T) {
	for _, v := range []struct {
		name  string
		elect electionFunc
		want  bool
	}{
		{"rendezvous", Elected, true},
		{"broken: depends on position", func(self netip.AddrPort, members []netip.AddrPort, _ Kind) bool {
			return slices.Index(members, self)*ReaderCount/len(members) != (slices.Index(members, self)+1)*ReaderCount/len(members)
		}, false},
		{"broken: every member", func(netip.AddrPort, []netip.AddrPort, Kind) bool { return true }, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParameters()
			parameters.Rng = rand.New(rand.NewSource(1))
			if r := electionProperty(v.elect).Check(parameters); r.Passed() != v.want {
				t.Errorf("passed: %v, want %v: %+v", r.Passed(), v.want, r)
			}
		})
	}
}

// The calls of one instance that is not elected: while the readers work, while the
// readers cannot reach the platform, while the instance has no contact with peers, and
// while the platform fails.
func TestScheduleTranscript(t *testing.T) {
	var session strings.Builder
	members := fleet(16)
	self := members[slices.IndexFunc(members, func(m netip.AddrPort) bool { return !Elected(m, members, Settings) })]
	s := &Schedule{Self: self, Random: func() float64 { return 0.5 }}
	now := start
	act := func(note string, duration time.Duration, r Result) {
		view := View{Members: members, HasDocument: s.calls > 0}
		for {
			view.LastContact = now
			if note == "no contact with peers for 11 s" {
				view.LastContact = now.Add(-11 * time.Second)
			}
			d := s.Decide(now, view)
			if d.Call != None {
				fmt.Fprintf(&session, "%s %s: %s, %s after %s\n", now.Format("15:04:05.000"), note,
					[...]string{"", "watch", "read", "reread"}[d.Call], [resultCount]string{"news", "same", "passed", "old", "refused", "failed"}[r], duration)
				break
			}
			now = now.Add(min(memberCheckInterval, d.DecideAt.Sub(now)))
		}
		now = now.Add(duration)
		view.HasDocument = true
		s.Finish(now, view, r)
	}
	act("start", time.Millisecond, Applied)
	act("not elected", time.Millisecond, Unchanged)
	act("not elected", time.Millisecond, Applied)
	act("substitutes for the readers", 3*time.Second, Applied)
	act("substitutes for the readers", LongPollWait, Unchanged)
	act("substitutes for the readers", LongPollWait, Unchanged)
	act("substitutes for the readers", LongPollWait, Unchanged)
	act("not elected again", time.Millisecond, Unchanged)
	act("not elected again", time.Millisecond, Unchanged)
	act("no contact with peers for 11 s", time.Millisecond, Failed)
	for range 5 {
		act("no contact with peers for 11 s", time.Millisecond, Failed)
	}
	act("no contact with peers for 11 s", time.Millisecond, Stale)
	act("no contact with peers for 11 s", 2*time.Second, Applied)
	act("no contact with peers for 11 s", LongPollWait, Unchanged)
	goldie.New(t).Assert(t, "session", []byte(session.String()))
}
