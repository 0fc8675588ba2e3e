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

// settingsText returns a settings tree. Trees of one version differ by their fleet, and
// fleet 0 is a fault.
func settingsText(version, fleet int) []byte {
	return fmt.Appendf(nil, "version: %d\nsettings: {fleet: %d}\n", version, fleet)
}

// candidate is the adopter under test or a faulty variant of it.
type candidate struct {
	offer func(text []byte)
	stamp func() Stamp
}

func newAdopter() candidate {
	a := NewSettings()
	return candidate{
		offer: func(text []byte) { a.Offer(text, 0, 0, start) },
		stamp: a.Stamp,
	}
}

// newAccepting returns a constructor of variants that accept a valid document whenever
// newer returns true.
func newAccepting(newer func(held, offered Stamp) bool) func() candidate {
	return func() candidate {
		var held Stamp
		return candidate{
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

// newAcceptingFaulty returns a variant that accepts the version of a faulty document
// too.
func newAcceptingFaulty() candidate {
	var held Stamp
	return candidate{
		offer: func(text []byte) {
			offered := Stamp{Version: parser.Version(text), Digest: parser.Digest(text)}
			if offered.Compare(held) > 0 {
				held = offered
			}
		},
		stamp: func() Stamp { return held },
	}
}

// newest returns the stamp of the document that all adopters must end with.
func newest(documents [][]byte) Stamp {
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

// agreement offers the same documents to several candidates, to each in its own random
// order and with repetitions. It checks that none returns to an older document and that
// all end with the same one.
func agreement(build func() candidate) gopter.Prop {
	codes := gen.SliceOfN(12, gen.IntRange(0, 19))
	return prop.ForAll(func(codes []int, seed int64) bool {
		var documents [][]byte
		// The codes 0 to 19 stand for versions 1 to 5 with fleets 0 to 3 each.
		for _, v := range codes {
			documents = append(documents, settingsText(1+v/4, v%4))
		}
		want := newest(documents)
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

// TestAdoptersAgree guards against instances that end with different documents because
// the same documents reached them in different orders.
func TestAdoptersAgree(t *testing.T) {
	for _, v := range []struct {
		name  string
		build func() candidate
		want  bool
	}{
		{"adopter", newAdopter, true},
		{"broken: accepts the latest offer", newAccepting(func(_, _ Stamp) bool { return true }), false},
		{"broken: ignores the digest", newAccepting(func(held, offered Stamp) bool { return offered.Version > held.Version }), false},
		{"broken: replaces an equal version", newAccepting(func(held, offered Stamp) bool { return offered.Version >= held.Version }), false},
		{"broken: accepts faulty documents", newAcceptingFaulty, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParameters()
			parameters.Rng = rand.New(rand.NewSource(1))
			parameters.MinSuccessfulTests = 300
			if r := agreement(v.build).Check(parameters); r.Passed() != v.want {
				t.Errorf("the property passed: %v, want %v: %+v", r.Passed(), v.want, r)
			}
		})
	}
}

// TestReadersNeverSeeOlderVersions guards against readers that see an older version after a newer
// one while documents are offered concurrently.
func TestReadersNeverSeeOlderVersions(t *testing.T) {
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
						t.Errorf("a reader saw version %d after %d", s.Version, seen)
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
				a.Offer(settingsText(1+random.Intn(60), random.Intn(3)), 0, 0, start)
			}
		})
	}
	offers.Wait()
	close(done)
	readers.Wait()
	for i := 1; i < len(changes); i++ {
		if changes[i].Compare(changes[i-1]) <= 0 {
			t.Errorf("OnChange was called with %s after %s", changes[i], changes[i-1])
		}
	}
}

// TestRaceOfOperators guards against instances that settle on different documents when two
// operators publish different trees under one version, and one of them then publishes a
// faulty tree. Three instances get the documents in different orders.
func TestRaceOfOperators(t *testing.T) {
	documents := map[string][]byte{
		"first":     settingsText(7, 32),
		"anna":      settingsText(8, 48),
		"bishnu":    settingsText(8, 64),
		"mistake":   settingsText(9, 0),
		"corrected": settingsText(10, 48),
	}
	var session strings.Builder
	for _, order := range [][]string{
		{"first", "anna", "bishnu", "mistake", "first", "corrected"},
		{"bishnu", "mistake", "mistake", "anna", "first", "corrected", "mistake"},
		{"corrected", "mistake", "bishnu", "first", "anna"},
	} {
		fmt.Fprintln(&session, "an instance starts")
		a := NewSettings()
		a.OnChange = func(s *resolver.Snapshot, _ Stamp, _ time.Time) {
			fmt.Fprintf(&session, "  in force: version %d\n", s.Version)
		}
		a.OnReject = func(r Rejection) { fmt.Fprintf(&session, "  rejected: %s\n", r.Reason) }
		for i, name := range order {
			now := start.Add(time.Duration(i) * time.Second)
			v := a.Offer(documents[name], 0, 0, now)
			s := a.Status()
			fmt.Fprintf(&session, "%s offer %s: %s; in force %s since %s", now.Format(time.TimeOnly), name, v, s.Stamp, s.Since.Format(time.TimeOnly))
			if s.LastRejection != nil {
				fmt.Fprintf(&session, "; last rejection at %s: %s", s.LastRejection.At.Format(time.TimeOnly), s.LastRejection.Stamp)
			}
			fmt.Fprintln(&session)
		}
	}
	goldie.New(t).Assert(t, "race", []byte(session.String()))
}

func TestOffer(t *testing.T) {
	a := NewSettings()
	text := settingsText(5, 32)
	s := Stamp{Version: 5, Digest: parser.Digest(text)}
	for _, v := range []struct {
		name            string
		text            []byte
		version, digest uint64
		want            Verdict
	}{
		{"a digest other than the announced one", text, 5, s.Digest + 1, Mismatch},
		{"a version other than the announced one", text, 6, s.Digest, Mismatch},
		{"a valid document", text, 5, s.Digest, Accepted},
		{"the document in force", text, 5, s.Digest, Known},
		{"an older document", settingsText(4, 32), 0, 0, Stale},
		{"a faulty document", settingsText(6, 0), 0, 0, Rejected},
		{"garbage", []byte("\x00{"), 0, 0, Rejected},
	} {
		if got := a.Offer(v.text, v.version, v.digest, start); got != v.want {
			t.Errorf("%s: %s, want %s", v.name, got, v.want)
		}
	}
	held, stamp := a.Text()
	if string(held) != string(text) || stamp != s || a.Current().Version != 5 {
		t.Errorf("in force: %s %q, want the valid document of version 5", stamp, held)
	}
	faulty := Stamp{Version: 6, Digest: parser.Digest(settingsText(6, 0))}
	if a.Wants(faulty) || a.Wants(s) || !a.Wants(Stamp{Version: 6, Digest: 1}) {
		t.Error("Wants must be false for a faulty document and the one in force, and true for a new one")
	}
	var faults parser.Faults
	if last := a.Status().LastRejection; last == nil || !errors.As(last.Reason, &faults) {
		t.Errorf("the last rejection does not hold the parser's faults: %+v", last)
	}
}

// TestRejectionsAreBounded guards against a memory of rejected documents that grows without
// bound.
func TestRejectionsAreBounded(t *testing.T) {
	a := NewSettings()
	for i := range 10 * MaxRejections {
		a.Offer(settingsText(i+1, 0), 0, 0, start)
	}
	if len(a.rejections) != MaxRejections || cap(a.rejections) > 2*MaxRejections {
		t.Errorf("%d rejections are remembered, want MaxRejections in a slice with a capacity of at most twice that", len(a.rejections))
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
		t.Errorf("in force: %+v, want revision 2 with 1 target", l)
	}
}
