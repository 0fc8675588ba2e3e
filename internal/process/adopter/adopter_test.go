package adopter

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sebdah/goldie/v2"

	"oriolecourse.example/oriolecourse/internal/version/parser"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// tree is a document; fleet 0 is a fault, and trees of one version differ by it.
func tree(version, fleet int) []byte {
	return fmt.Appendf(nil, "version: %d\nsettings: {fleet: %d}\n", version, fleet)
}

// subject is what the checker judges: an adopter or a broken variant of one.
type subject struct {
	offer func(text []byte)
	stamp func() Stamp
}

func adopting() subject {
	a := NewSettings()
	return subject{
		offer: func(text []byte) { a.Offer(text, 0, 0, start) },
		stamp: a.Stamp,
	}
}

// taking is a variant that takes a valid document whenever newer says so.
func taking(newer func(held, offered Stamp) bool) func() subject {
	return func() subject {
		var held Stamp
		return subject{
			offer: func(text []byte) {
				s, err := parser.Parse(text)
				if err != nil {
					return
				}
				if offered := (Stamp{Version: s.Version, Digest: s.Digest}); newer(held, offered) {
					held = offered
				}
			},
			stamp: func() Stamp { return held },
		}
	}
}

// trusting is a variant that takes the version of a faulty document as well.
func trusting() subject {
	var held Stamp
	return subject{
		offer: func(text []byte) {
			offered := Stamp{Version: parser.Version(text), Digest: parser.Digest(text)}
			if offered.Compare(held) > 0 {
				held = offered
			}
		},
		stamp: func() Stamp { return held },
	}
}

// highest is the document that all adopters must end with.
func highest(documents [][]byte) Stamp {
	var best Stamp
	for _, text := range documents {
		if s, err := parser.Parse(text); err == nil {
			if offered := (Stamp{Version: s.Version, Digest: s.Digest}); offered.Compare(best) > 0 {
				best = offered
			}
		}
	}
	return best
}

// keeps offers the same documents to several subjects, in orders of their own
// and with repetitions, and checks that none steps back and all end alike.
func keeps(build func() subject) gopter.Prop {
	codes := gen.SliceOfN(12, gen.IntRange(0, 19))
	return prop.ForAll(func(codes []int, seed int64) bool {
		var documents [][]byte
		for _, v := range codes {
			documents = append(documents, tree(1+v/4, v%4))
		}
		want := highest(documents)
		random := rand.New(rand.NewSource(seed))
		for range 4 {
			s := build()
			order := append(random.Perm(len(documents)), random.Perm(len(documents))...)
			for _, i := range order {
				before := s.stamp()
				s.offer(documents[i])
				if s.stamp().Compare(before) < 0 {
					return false
				}
			}
			if s.stamp() != want {
				return false
			}
		}
		return true
	}, codes, gen.Int64())
}

func TestAdoptersAgree(t *testing.T) {
	for _, v := range []struct {
		name  string
		build func() subject
		want  bool
	}{
		{"adopter", adopting, true},
		{"broken: takes the latest offer", taking(func(_, _ Stamp) bool { return true }), false},
		{"broken: ignores the digest", taking(func(held, offered Stamp) bool { return offered.Version > held.Version }), false},
		{"broken: replaces an equal version", taking(func(held, offered Stamp) bool { return offered.Version >= held.Version }), false},
		{"broken: takes faulty documents", trusting, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParameters()
			parameters.Rng = rand.New(rand.NewSource(1))
			parameters.MinSuccessfulTests = 300
			if r := keeps(v.build).Check(parameters); r.Passed() != v.want {
				t.Errorf("passed: %v, want %v: %+v", r.Passed(), v.want, r)
			}
		})
	}
}

// Readers never see a version older than one they saw, whatever is offered meanwhile.
func TestReadersNeverStepBack(t *testing.T) {
	a := NewSettings()
	var changes []Stamp
	a.OnChange = func(_ *resolver.Snapshot, s Stamp, _ time.Time) { changes = append(changes, s) }
	var offers, readers sync.WaitGroup
	done := make(chan struct{})
	for range 3 {
		readers.Go(func() {
			var seen uint64
			for {
				select {
				case <-done:
					return
				default:
				}
				if s := a.Current(); s != nil {
					if s.Version < seen {
						t.Errorf("version %d after %d", s.Version, seen)
						return
					}
					seen = s.Version
				}
			}
		})
	}
	for i := range 4 {
		offers.Go(func() {
			random := rand.New(rand.NewSource(int64(i)))
			for range 300 {
				a.Offer(tree(1+random.Intn(60), random.Intn(3)), 0, 0, start)
			}
		})
	}
	offers.Wait()
	close(done)
	readers.Wait()
	for i := 1; i < len(changes); i++ {
		if changes[i].Compare(changes[i-1]) <= 0 {
			t.Errorf("change to %s after %s", changes[i], changes[i-1])
		}
	}
}

// Two operators publish different trees under one version, one of them a faulty
// tree after it; three instances hear of them in different orders.
func TestRaceOfOperators(t *testing.T) {
	documents := map[string][]byte{
		"first":   tree(7, 32),
		"anna":    tree(8, 48),
		"bishnu":  tree(8, 64),
		"mistake": tree(9, 0),
		"mended":  tree(10, 48),
	}
	var session strings.Builder
	for _, order := range [][]string{
		{"first", "anna", "bishnu", "mistake", "first", "mended"},
		{"bishnu", "mistake", "mistake", "anna", "first", "mended", "mistake"},
		{"mended", "mistake", "bishnu", "first", "anna"},
	} {
		fmt.Fprintln(&session, "an instance starts")
		a := NewSettings()
		a.OnChange = func(s *resolver.Snapshot, _ Stamp, _ time.Time) {
			fmt.Fprintf(&session, "  in force: version %d\n", s.Version)
		}
		a.OnReject = func(r Rejection) { fmt.Fprintf(&session, "  refused: %s\n", r.Reason) }
		for i, name := range order {
			now := start.Add(time.Duration(i) * time.Second)
			v := a.Offer(documents[name], 0, 0, now)
			s := a.Status()
			fmt.Fprintf(&session, "%s offer %s: %s; in force %s since %s", now.Format(time.TimeOnly), name, v, s.Stamp, s.Since.Format(time.TimeOnly))
			if s.LastRejection != nil {
				fmt.Fprintf(&session, "; not taken since %s: %s", s.LastRejection.At.Format(time.TimeOnly), s.LastRejection.Stamp)
			}
			fmt.Fprintln(&session)
		}
	}
	goldie.New(t).Assert(t, "race", []byte(session.String()))
}

func TestOffer(t *testing.T) {
	a := NewSettings()
	text := tree(5, 32)
	s := Stamp{Version: 5, Digest: parser.Digest(text)}
	for _, v := range []struct {
		name            string
		text            []byte
		version, digest uint64
		want            Verdict
	}{
		{"a text that is not the announced one", text, 5, s.Digest + 1, Mismatch},
		{"a version that is not the announced one", text, 6, s.Digest, Mismatch},
		{"a valid one", text, 5, s.Digest, Accepted},
		{"the same", text, 5, s.Digest, Known},
		{"an older one", tree(4, 32), 0, 0, Stale},
		{"a faulty one", tree(6, 0), 0, 0, Rejected},
		{"garbage", []byte("\x00{"), 0, 0, Rejected},
	} {
		if got := a.Offer(v.text, v.version, v.digest, start); got != v.want {
			t.Errorf("%s: %s, want %s", v.name, got, v.want)
		}
	}
	held, stamp := a.Text()
	if string(held) != string(text) || stamp != s || a.Current().Version != 5 {
		t.Errorf("in force: %s %q", stamp, held)
	}
	faulty := Stamp{Version: 6, Digest: parser.Digest(tree(6, 0))}
	if a.Wants(faulty) || a.Wants(s) || !a.Wants(Stamp{Version: 6, Digest: 1}) {
		t.Error("wants a known or faulty document, or not a new one")
	}
	var faults parser.Faults
	if last := a.Status().LastRejection; last == nil || !errors.As(last.Reason, &faults) {
		t.Errorf("the reason is not visible: %+v", last)
	}
}

// The memory of rejected documents is bounded.
func TestRejectionsAreBounded(t *testing.T) {
	a := NewSettings()
	for i := range 10 * MaxRejections {
		a.Offer(tree(i+1, 0), 0, 0, start)
	}
	if len(a.rejections) != MaxRejections || cap(a.rejections) > 2*MaxRejections {
		t.Errorf("%d rejections held", len(a.rejections))
	}
}

func TestList(t *testing.T) {
	a := NewList()
	for _, v := range []struct {
		text string
		want Verdict
	}{
		{`{"revision": 2, "targets": [{"address": "10.0.0.1:80", "place": "himal", "service": "parts"}]}`, Accepted},
		{`{"revision": 1}`, Stale},
		{`{"targets": []}`, Rejected},
		{`{"revision": 3, "targets": [{"address": "nowhere"}]}`, Rejected},
	} {
		if got := a.Offer([]byte(v.text), 0, 0, start); got != v.want {
			t.Errorf("%s: %s, want %s", v.text, got, v.want)
		}
	}
	if l := a.Current(); l.Revision != 2 || len(l.Targets) != 1 {
		t.Errorf("in force: %+v", l)
	}
}
