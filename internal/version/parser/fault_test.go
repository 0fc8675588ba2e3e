package parser

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// treeWith returns a tree with one kind and the given settings at each level above
// the kind and at the kind.
func treeWith(root, place, service, kind string) string {
	return fmt.Sprintf("version: 1\nsettings: {%s}\nplaces:\n  p:\n    settings: {%s}\n    services:\n      s:\n        settings: {%s}\n        kinds:\n          k: {%s}\n",
		root, place, service, kind)
}

const kindPath = "places.p.services.s.kinds.k."

func TestFaults(t *testing.T) {
	for _, v := range []struct {
		name, text string
		// want holds the path and the title of each fault.
		want []string
	}{
		{"empty", "", []string{": " + TitleVersion}},
		{"comment only", "# nothing\n", []string{": " + TitleVersion}},
		{"no version", "places: {}\n", []string{"version: " + TitleVersion}},
		{"version as text", "version: seven\n", []string{"version: " + TitleVersion}},
		{"negative version", "version: -1\n", []string{"version: " + TitleVersion}},
		{"two documents", "version: 1\n---\nversion: 2\n", []string{": " + TitleStructure}},
		{"syntax", "version: [1\n", []string{": " + TitleSyntax}},
		{"list as document", "- version: 1\n", []string{"version: " + TitleVersion, ": " + TitleStructure}},
		{"too large", "version: 1 #" + strings.Repeat("x", MaxDocumentBytes), []string{": " + TitleSize}},
		{"cycle", "version: 1\nplaces: &p\n  himal: *p\n", []string{"places.himal: " + TitleCycle}},
		{"cycle through a list", "version: 1\nplaces: &p [a, *p]\n", []string{"places: " + TitleCycle}},
		{"merge key", "version: 1\nsettings: &s {fleet: 8}\nplaces: {p: {settings: {<<: *s}}}\n", []string{"places.p.settings.<<: " + TitleUnknownName}},
		{"invalid place name", "version: 1\nplaces: {P_1: {}}\n", []string{"places.P_1: " + TitleInvalidName}},
		{"complex key", "version: 1\nplaces: {[a]: {}}\n", []string{"places: " + TitleStructure}},
		{"list as value", treeWith("", "", "", "deadline: [1s]"), []string{kindPath + "deadline: " + TitleStructure}},
		{"null value", treeWith("", "", "", "deadline: "), []string{kindPath + "deadline: " + TitleInvalidValue}},
		{"negative duration", treeWith("", "", "", "deadline: -1s"), []string{kindPath + "deadline: " + TitleInvalidValue}},
		{"duration overflow", treeWith("", "", "", "deadline: 99999999999999h"), []string{kindPath + "deadline: " + TitleInvalidValue}},
		{"not a number", treeWith("ratio: .nan", "", "", ""), []string{"settings.ratio: " + TitleInvalidValue}},
		{"yes for true", treeWith("", "", "", "once: yes"), []string{kindPath + "once: " + TitleInvalidValue}},
		{"size in MB", treeWith("body: 1MB", "", "", ""), []string{"settings.body: " + TitleInvalidValue}},
		{"wait beyond deadline", treeWith("", "", "", "wait: 3s, deadline: 1s"), []string{kindPath + "wait: " + TitleConflict}},
		{"outcomes deleted too early", treeWith("forget: 5s", "", "", "once: true, deadline: 10s"), []string{kindPath + "deadline: " + TitleConflict}},
		{"outcomes deleted too early, once set above", treeWith("forget: 1s", "", "once: true", ""), []string{"settings.forget: " + TitleConflict}},
		{"fleet beyond probes", treeWith("probes: 20", "fleet: 21", "", ""), []string{"places.p.settings.fleet: " + TitleConflict}},
		{"connections below fleet", treeWith("", "", "connections: 31", ""), []string{"places.p.services.s.settings.connections: " + TitleConflict}},
		{"homes beyond fleet", treeWith("fleet: 1, homes: 2", "", "", ""), []string{"settings.homes: " + TitleConflict}},
		{"timeout beyond window", treeWith("window: 1s, timeout: 2s", "", "", ""), []string{"settings.timeout: " + TitleConflict}},
	} {
		t.Run(v.name, func(t *testing.T) {
			var faults Faults
			if _, err := Parse([]byte(v.text)); !errors.As(err, &faults) {
				t.Fatalf("got the error %v, want Faults", err)
			}
			var got []string
			for _, f := range faults {
				got = append(got, f.Path+": "+f.Title)
			}
			if strings.Join(got, "\n") != strings.Join(v.want, "\n") {
				t.Errorf("got\n%s\nwant\n%s", faults, strings.Join(v.want, "\n"))
			}
		})
	}
}

// Nested aliases expand a small document to many layers: here 401 places of 401
// services of 401 kinds. Parsing stops at maxLayers, so that such a document
// cannot use up CPU and memory.
func TestAliasExpansion(t *testing.T) {
	var b strings.Builder
	b.WriteString("version: 1\nplaces:\n  p0: &p\n    services:\n      s0: &s\n        kinds: {k0: {}")
	for i := range 400 {
		fmt.Fprintf(&b, ", k%d: {}", i+1)
	}
	b.WriteString("}\n")
	for i := range 400 {
		fmt.Fprintf(&b, "      s%d: *s\n", i+1)
	}
	for i := range 400 {
		fmt.Fprintf(&b, "  p%d: *p\n", i+1)
	}
	var faults Faults
	if _, err := Parse([]byte(b.String())); !errors.As(err, &faults) || faults[0].Title != TitleCount || len(faults) > maxFaults {
		t.Errorf("got the faults %v, want TitleCount first and at most maxFaults", faults)
	}
}

// An inherited value that violates a rule with a more specific setting is adapted.
// Effective also returns the original value, so that an operator can see why the
// value in the tree has no effect.
func TestEffectiveShowsAdaptedValues(t *testing.T) {
	text := treeWith("hedge: 15ms, wait: 1s, homes: 3", "fleet: 2", "", "once: true, deadline: 500ms")
	settings, err := Effective([]byte(text), "p", "s", "k")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{
		"hedge": "0s root, adapted from 15ms", "wait": "500ms root, adapted from 1s", "homes": "2 root, adapted from 3",
		"fleet": "2 place", "once": "true kind", "slots": "2 default",
	}
	for _, s := range settings {
		if v, ok := want[s.Name]; ok && v != s.Value+" "+s.Source {
			t.Errorf("%s: %s %s, want %s", s.Name, s.Value, s.Source, v)
		}
	}
}

// deadlineSetting returns a setting of the deadline, or an empty text for 0.
func deadlineSetting(milliseconds int) string {
	if milliseconds == 0 {
		return ""
	}
	return fmt.Sprintf("deadline: %dms", milliseconds)
}

// nearestLevelWins is the property that the most specific level that sets a value
// determines the effective value. A level of 0 sets none.
func nearestLevelWins(effective func(levels []int) time.Duration) gopter.Prop {
	return prop.ForAll(func(levels []int) bool {
		want := defaults().Deadline
		for _, v := range levels {
			if v != 0 {
				want = time.Duration(v) * time.Millisecond
			}
		}
		return effective(levels) == want
	}, gen.SliceOfN(4, gen.OneGenOf(gen.Const(0), gen.IntRange(1000, 2000))))
}

// The effective deadline of a kind is the deadline of the most specific level that
// sets one. The test also applies the property to a reversed order of the levels,
// which it must reject.
func TestInheritance(t *testing.T) {
	parsed := func(l []int) time.Duration {
		s, err := Parse([]byte(treeWith(deadlineSetting(l[0]), deadlineSetting(l[1]), deadlineSetting(l[2]), deadlineSetting(l[3]))))
		if err != nil {
			return 0
		}
		return s.Policy("p", "s", "k").Deadline
	}
	reversed := func(l []int) time.Duration { return parsed([]int{l[3], l[2], l[1], l[0]}) }
	for _, v := range []struct {
		name      string
		effective func([]int) time.Duration
		want      bool
	}{{"parser", parsed, true}, {"broken: the root overrides the kind", reversed, false}} {
		parameters := gopter.DefaultTestParameters()
		parameters.Rng = rand.New(rand.NewSource(1))
		if r := nearestLevelWins(v.effective).Check(parameters); r.Passed() != v.want {
			t.Errorf("%s: passed %v, want %v", v.name, r.Passed(), v.want)
		}
	}
}
