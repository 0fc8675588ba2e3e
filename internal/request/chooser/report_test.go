package chooser

import "testing"

// A malformed or implausible report must not set a target's load.
func TestParseReport(t *testing.T) {
	tests := []struct {
		name, text string
		want       Report
	}{
		{"complete", "TEXT named_metrics.running=1, named_metrics.queued=3, named_metrics.slots=2", Report{1, 3, 2}},
		{"no queue, other metrics", "TEXT cpu_utilization=0.4,named_metrics.slots=2,named_metrics.running=0", Report{0, 0, 2}},
		{"fractions", "TEXT named_metrics.running=1.9, named_metrics.slots=2", Report{1, 0, 2}},
		{"none", "", Report{}},
		{"other format", `JSON {"named_metrics":{"running":1,"slots":2}}`, Report{}},
		{"no slots", "TEXT named_metrics.running=1", Report{}},
		{"no running requests", "TEXT named_metrics.slots=2", Report{}},
		{"negative", "TEXT named_metrics.running=-1, named_metrics.slots=2", Report{}},
		{"not a number", "TEXT named_metrics.running=NaN, named_metrics.slots=2", Report{}},
		{"implausibly large", "TEXT named_metrics.running=1e300, named_metrics.slots=2", Report{}},
	}
	for _, c := range tests {
		got := ParseReport(c.text)
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
		if got.Valid() && ParseReport(got.String()) != got {
			t.Errorf("%s: ParseReport does not parse %v back to the same report", c.name, got)
		}
	}
}
