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

// election is Elected or a broken variant of it.
type election func(self netip.AddrPort, members []netip.AddrPort, kind Kind) bool

func readers(e election, members []netip.AddrPort, kind Kind) []netip.AddrPort {
	var found []netip.AddrPort
	for _, m := range members {
		if e(m, members, kind) {
			found = append(found, m)
		}
	}
	return found
}

// elects checks that there are as many readers as asked for, whatever the order
// of the members, and that the loss of one member unseats no other reader.
func elects(e election) gopter.Prop {
	return prop.ForAll(func(size int, seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		members := fleet(size)
		random.Shuffle(size, func(i, j int) { members[i], members[j] = members[j], members[i] })
		before := readers(e, members, Settings)
		if len(before) != min(Readers, size) {
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

func TestElection(t *testing.T) {
	for _, v := range []struct {
		name  string
		elect election
		want  bool
	}{
		{"rendezvous", Elected, true},
		{"broken: position modulo", func(self netip.AddrPort, members []netip.AddrPort, _ Kind) bool {
			return slices.Index(members, self)*Readers/len(members) != (slices.Index(members, self)+1)*Readers/len(members)
		}, false},
		{"broken: everybody", func(netip.AddrPort, []netip.AddrPort, Kind) bool { return true }, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParameters()
			parameters.Rng = rand.New(rand.NewSource(1))
			if r := elects(v.elect).Check(parameters); r.Passed() != v.want {
				t.Errorf("passed: %v, want %v: %+v", r.Passed(), v.want, r)
			}
		})
	}
}

// A session of one instance that is not elected while the readers are cut off,
// peers fall silent and the platform fails.
func TestSession(t *testing.T) {
	var session strings.Builder
	members := fleet(16)
	self := members[slices.IndexFunc(members, func(m netip.AddrPort) bool { return !Elected(m, members, Settings) })]
	s := &Schedule{Self: self, Random: func() float64 { return 0.5 }}
	now := start
	act := func(note string, length time.Duration, r Result) {
		view := View{Members: members, Holding: s.calls > 0}
		for {
			view.Heard = now
			if note == "no peer was heard for 11 s" {
				view.Heard = now.Add(-11 * time.Second)
			}
			d := s.Decide(now, view)
			if d.Call != None {
				fmt.Fprintf(&session, "%s %s: %s, %s after %s\n", now.Format("15:04:05.000"), note,
					[...]string{"", "watch", "read", "reread"}[d.Call], [results]string{"news", "same", "passed", "old", "refused", "failed"}[r], length)
				break
			}
			now = now.Add(min(tick, d.Again.Sub(now)))
		}
		now = now.Add(length)
		view.Holding = true
		s.Finish(now, view, r)
	}
	act("it starts", time.Millisecond, News)
	act("not elected", time.Millisecond, Same)
	act("not elected", time.Millisecond, News)
	act("stands in for the readers", 3*time.Second, News)
	act("stands in for the readers", Wait, Same)
	act("stands in for the readers", Wait, Same)
	act("stands in for the readers", Wait, Same)
	act("not elected again", time.Millisecond, Same)
	act("not elected again", time.Millisecond, Same)
	act("no peer was heard for 11 s", time.Millisecond, Failed)
	for range 5 {
		act("no peer was heard for 11 s", time.Millisecond, Failed)
	}
	act("no peer was heard for 11 s", time.Millisecond, Old)
	act("no peer was heard for 11 s", 2*time.Second, News)
	act("no peer was heard for 11 s", Wait, Same)
	goldie.New(t).Assert(t, "session", []byte(session.String()))
}
