package accountant

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

var since = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// instance returns the accountant of an instance that has done some work.
func instance(address string, processor time.Duration) *Accountant {
	a := New(netip.MustParseAddrPort(address), "a", since)
	a.processor = func() time.Duration { return processor }
	find := a.Counters(Key{Place: "himal", Service: "lookup", Kind: "find"})
	find.Requests.Add(1000)
	find.Done.Add(990)
	find.Unrun.Add(8)
	find.Unknown.Add(2)
	find.Target.Add(int64(4 * time.Second))
	find.In.Add(20_000)
	find.Out.Add(500_000)
	find.Retries.Add(3)
	find.Hedges.Add(12)
	service := a.Counters(Key{Place: "himal", Service: "lookup"})
	service.Probes.Add(5)
	service.Connections.Add(24)
	book := a.Counters(Key{Place: "steadyhand", Service: "jobs", Kind: "book"})
	book.Requests.Add(100)
	book.Done.Add(100)
	book.Target.Add(int64(time.Second))
	a.Messages.Add(600)
	a.Bytes.Add(72_000)
	return a
}

func TestBillTable(t *testing.T) {
	reports := []Report{
		instance("10.0.0.1:80", 3*time.Second).Report(since.Add(time.Hour)),
		instance("10.0.0.2:80", 5*time.Second).Report(since.Add(time.Hour)),
	}
	for name, bill := range map[string]Bill{
		"whole":   Merge(reports, nil),
		"missing": Merge(reports[:1], []string{"10.0.0.3:9000", "10.0.0.2:9000"}),
		"nothing": Merge(nil, []string{"10.0.0.1:9000"}),
	} {
		var out bytes.Buffer
		if err := bill.Write(&out); err != nil {
			t.Fatal(err)
		}
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, out.Bytes())
	}
}

func TestReportRoundTrip(t *testing.T) {
	want := instance("10.0.0.1:80", 1500*time.Millisecond).Report(since.Add(time.Hour))
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Report
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestMergeCountsAnInstanceOnce(t *testing.T) {
	a := instance("10.0.0.1:80", time.Second)
	first := a.Report(since.Add(time.Hour))
	a.Counters(Key{Place: "himal", Service: "lookup", Kind: "find"}).Requests.Add(1)
	second := a.Report(since.Add(2 * time.Hour))
	for _, reports := range [][]Report{{first, second}, {second, first}} {
		b := Merge(reports, nil)
		if b.Reports != 1 || b.Lines[1].Requests != 1001 {
			t.Errorf("got %+v", b)
		}
	}
}

func TestCountersAreSharedByAllCallers(t *testing.T) {
	a := New(netip.MustParseAddrPort("10.0.0.1:80"), "a", since)
	var wait sync.WaitGroup
	for range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range 1000 {
				a.Counters(Key{Place: "himal", Service: "lookup", Kind: string(rune('a' + i%5))}).Requests.Add(1)
			}
		}()
	}
	wait.Wait()
	total := int64(0)
	for _, l := range a.Report(since).Lines {
		total += l.Requests
	}
	if total != 8000 {
		t.Errorf("counted %d requests, not 8000", total)
	}
}
