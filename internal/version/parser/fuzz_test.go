package parser

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// FuzzParse parses any text twice and compares the results: instances that parse
// the same text differently would use different settings. The result is either a
// snapshot whose policies violate no rule, or Faults.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "himal"))
	f.Add(readExample(f, "steadyhand"))
	f.Add([]byte("version: 1\nplaces: &p\n  himal: *p\n"))
	f.Add([]byte("version: 1\nsettings: {wait: 3s, deadline: 1s, hedge: 2s, fleet: 300, <<: {a: 1}}\n"))
	f.Add([]byte(treeWith("probes: 3", "fleet: 2", "once: true", "hedge: 1s")))
	f.Add([]byte("? [a]\n: {b: !!binary x}\n--- \n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		second, secondErr := Parse(text)
		if !reflect.DeepEqual(s, second) || fmt.Sprint(err) != fmt.Sprint(secondErr) {
			t.Fatalf("two parses of the same text differ: %v, %v", err, secondErr)
		}
		if err != nil {
			var faults Faults
			if s != nil || !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("got the error %v, want Faults and no snapshot", err)
			}
			return
		}
		if s.Version == 0 || s.Version != Version(text) {
			t.Fatalf("the snapshot has version %d, Version returns %d", s.Version, Version(text))
		}
		for key, p := range s.Policies {
			for _, v := range rules {
				if v.violated(p) {
					t.Errorf("%v violates a rule: %s", key, v.reason)
				}
			}
		}
	})
}

// largeTree returns a tree with the given number of places and of services per
// place, with five kinds per service.
func largeTree(places, services int) []byte {
	var b strings.Builder
	b.WriteString("version: 1\nsettings: {fleet: 400, connections: 4000}\nplaces:\n")
	for p := range places {
		fmt.Fprintf(&b, "  place%d:\n    settings: {slots: 2, tail: 8, cost: 3}\n    services:\n", p)
		for s := range services {
			fmt.Fprintf(&b, "      service%d:\n        settings: {probes: %d, retries: 0.1, ratio: 0.03, rate: 2500, queue: 128}\n        kinds:\n", s, 400+s)
			for k, text := range []string{
				"priority: urgent, deadline: 250ms, wait: 120ms, hedge: 15ms", "once: true, deadline: 2s, body: 256KiB",
				"priority: queued, deadline: 30s, wait: 20s", "deadline: 10s, wait: 8s", "",
			} {
				fmt.Fprintf(&b, "          kind%d: {%s}\n", k, text)
			}
		}
	}
	return []byte(b.String())
}

// retainedBytes measures the heap memory of one snapshot, averaged over several.
func retainedBytes(b *testing.B, text []byte) float64 {
	const count = 10
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var snapshots []*resolver.Snapshot
	for range count {
		s, err := Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		snapshots = append(snapshots, s)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(snapshots)
	return float64(after.HeapAlloc-before.HeapAlloc) / count
}

// BenchmarkParse measures trees up to the size that the parser is designed for: 5
// places with 210 services each. It also reports the size of the text and the memory
// of a snapshot.
func BenchmarkParse(b *testing.B) {
	for _, v := range []struct{ places, services int }{{1, 2}, {1, 21}, {1, 210}, {5, 210}} {
		b.Run(fmt.Sprintf("services=%d", v.places*v.services), func(b *testing.B) {
			text := largeTree(v.places, v.services)
			var compressed bytes.Buffer
			w := gzip.NewWriter(&compressed)
			if _, err := w.Write(text); err != nil {
				b.Fatal(err)
			}
			if err := w.Close(); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
			b.ReportMetric(float64(compressed.Len()), "gzip-bytes")
			b.ReportMetric(retainedBytes(b, text), "held-bytes")
		})
	}
}
