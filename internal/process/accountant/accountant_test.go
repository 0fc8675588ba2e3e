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

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// newAccountant returns an accountant with some costs.
func newAccountant(address string, cpuTime time.Duration) *Accountant {
	a := New(netip.MustParseAddrPort(address), "a", start)
	a.cpuTime = func() time.Duration { return cpuTime }
	find := a.Counters(Key{Place: "himal", Service: "lookup", Kind: "find"})
	find.Requests.Add(1000)
	find.Done.Add(990)
	find.NotExecuted.Add(8)
	find.Unknown.Add(2)
	find.TargetTime.Add(int64(4 * time.Second))
	find.BytesIn.Add(20_000)
	find.BytesOut.Add(500_000)
	find.Retries.Add(3)
	find.Hedges.Add(12)
	service := a.Counters(Key{Place: "himal", Service: "lookup"})
	service.Probes.Add(5)
	service.Connections.Add(24)
	book := a.Counters(Key{Place: "steadyhand", Service: "jobs", Kind: "book"})
	book.Requests.Add(100)
	book.Done.Add(100)
	book.TargetTime.Add(int64(time.Second))
	a.ControlMessages.Add(600)
	a.ControlBytes.Add(72_000)
	return a
}

func TestBillTable(t *testing.T) {
	reports := []Report{
		newAccountant("10.0.0.1:80", 3*time.Second).Report(start.Add(time.Hour)),
		newAccountant("10.0.0.2:80", 5*time.Second).Report(start.Add(time.Hour)),
	}
	for name, bill := range map[string]Bill{
		"all_reports": Merge(reports, nil),
		"missing":     Merge(reports[:1], []string{"10.0.0.3:9000", "10.0.0.2:9000"}),
		"no_reports":  Merge(nil, []string{"10.0.0.1:9000"}),
	} {
		var out bytes.Buffer
		if err := bill.Write(&out); err != nil {
			t.Fatal(err)
		}
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, out.Bytes())
	}
}

func TestReportRoundTrip(t *testing.T) {
	want := newAccountant("10.0.0.1:80", 1500*time.Millisecond).Report(start.Add(time.Hour))
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
	a := newAccountant("10.0.0.1:80", time.Second)
	first := a.Report(start.Add(time.Hour))
	a.Counters(Key{Place: "himal", Service: "lookup", Kind: "find"}).Requests.Add(1)
	second := a.Report(start.Add(2 * time.Hour))
	for _, reports := range [][]Report{{first, second}, {second, first}} {
		b := Merge(reports, nil)
		if b.Reports != 1 || b.Lines[1].Requests != 1001 {
			t.Errorf("got %+v, want 1 report with 1001 requests in the second line", b)
		}
	}
}

func TestCountersConcurrentUse(t *testing.T) {
	a := New(netip.MustParseAddrPort("10.0.0.1:80"), "a", start)
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 1000 {
				a.Counters(Key{Place: "himal", Service: "lookup", Kind: string(rune('a' + i%5))}).Requests.Add(1)
			}
		}()
	}
	wg.Wait()
	total := int64(0)
	for _, l := range a.Report(start).Lines {
		total += l.Requests
	}
	if total != 8000 {
		t.Errorf("counted %d requests, not 8000", total)
	}
}
