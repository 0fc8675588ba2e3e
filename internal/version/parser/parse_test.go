package parser

import (
	"os"
	"reflect"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../../examples/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestParseExamples(t *testing.T) {
	s, err := Parse(readExample(t, "himal"))
	if err != nil {
		t.Fatal(err)
	}
	lookup := s.Policy("himal", "parts", "lookup")
	if lookup == nil || lookup.Priority != resolver.Urgent || lookup.AtMostOnce || lookup.HedgeDelay != 15*time.Millisecond ||
		lookup.Deadline != 250*time.Millisecond || lookup.Fleet != 32 || lookup.Probes != 96 || lookup.TailWeight != 8 {
		t.Errorf("lookup: got %+v, want urgent, not once, a hedge of 15ms, a deadline of 250ms, a fleet of 32, 96 probes and tail 8", lookup)
	}
	if p := s.Policy("himal", "parts", "confirm"); !p.AtMostOnce || p.HedgeDelay != 0 || p.MaxBodyBytes != 256<<10 {
		t.Errorf("confirm: got %+v, want once, no hedge and a body of 256KiB", p)
	}
	if p := s.Policy("himal", "records", "sync"); p.Priority != resolver.Queued || p.MaxWait != 20*time.Second {
		t.Errorf("sync: got %+v, want queued and a wait of 20s", p)
	}
	if s, err = Parse(readExample(t, "steadyhand")); err != nil {
		t.Fatal(err)
	}
	if p := s.Service("steadyhand", "jobs"); p == nil || p.Slots != 3 || p.CostWeight != 8 || p.Kind != "" {
		t.Errorf("jobs: got %+v, want 3 slots, cost 8 and no kind", p)
	}
}

// Every field of resolver.Policy has exactly one record, which has the name of the
// field or the name in settingNames, and no record belongs to two fields. A field
// without a record could not be set in the tree.
func TestRecordsCoverPolicy(t *testing.T) {
	p := defaults()
	fields := reflect.TypeFor[resolver.Policy]()
	fieldCount, covered := 0, map[string]string{}
	for i := range fields.NumField() {
		f := fields.Field(i)
		if f.Name == "Place" || f.Name == "Service" || f.Name == "Kind" {
			continue
		}
		fieldCount++
		r, ok := recordsByName[settingName(f.Name)]
		if !ok {
			t.Errorf("no record for %s", f.Name)
			continue
		}
		if other, ok := covered[r.Name]; ok {
			t.Errorf("record %s belongs to the fields %s and %s; expected one field", r.Name, other, f.Name)
		}
		covered[r.Name] = f.Name
		r.field.set(&p, 1)
		if reflect.ValueOf(p).Field(i).IsZero() || r.field.get(&p) != 1 {
			t.Errorf("record %s does not set its field", r.Name)
		}
		if _, ok := r.format.read(r.Example); !ok {
			t.Errorf("record %s has an invalid example", r.Name)
		}
	}
	if fieldCount != len(Records) {
		t.Errorf("the policy has %d fields with a setting, want one per record: %d", fieldCount, len(Records))
	}
}

// settingNames holds the settings whose name is not the name of the field.
var settingNames = map[string]string{
	"AtMostOnce": "once", "MaxWait": "wait", "RetryRatio": "retries", "HedgeDelay": "hedge", "HedgeRatio": "ratio",
	"ProbeWindow": "window", "ProbeTimeout": "timeout", "MinHomes": "homes", "HomeRate": "rate", "HomesTTL": "keep",
	"EjectionTime": "eject", "MaxBodyBytes": "body", "EpochDuration": "epoch", "OutcomeRetention": "forget",
	"TailWeight": "tail", "CostWeight": "cost",
}

// settingName returns the name of the setting of a field.
func settingName(field string) string {
	if name, ok := settingNames[field]; ok {
		return name
	}
	return string(field[0]|0x20) + field[1:]
}

// The defaults violate no rule. Otherwise a tree without settings would be rejected.
func TestDefaultsViolateNoRule(t *testing.T) {
	p := defaults()
	for _, v := range rules {
		if v.violated(&p) {
			t.Errorf("the defaults violate a rule: %s", v.reason)
		}
	}
}
