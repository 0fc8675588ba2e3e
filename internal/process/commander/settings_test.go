package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/spf13/cobra"
)

const examplesPath = "../../../examples/"

// faultyTree is a settings tree with most of the faults that docs/SETTINGS.md lists.
const faultyTree = `version: 0
settings: {fleet: 32, window: 10, hegde: 15ms}
places:
  himal:
    settings: {keep: 1m}
    services:
      parts:
        settings: {probes: 12, slots: 0, slots: 2}
        slots: 2
        kinds:
          lookup: {hedge: 300ms, deadline: 250ms, fleet: 16}
          confirm: {once: true, hedge: 15ms, priority: high}
          Repairs: {}
    service: {}
`

// execute runs a subcommand and returns its output, followed by its error if it failed.
func execute(c *cobra.Command, arguments ...string) string {
	var out bytes.Buffer
	c.SetArgs(arguments)
	c.SetOut(&out)
	c.SetErr(&out)
	c.SilenceErrors, c.SilenceUsage = true, true
	if err := c.Execute(); err != nil {
		out.WriteString("error: " + err.Error() + "\n")
	}
	return out.String()
}

func TestCheckAndShow(t *testing.T) {
	file := filepath.Join(t.TempDir(), "faulty.yaml")
	if err := os.WriteFile(file, []byte(faultyTree), 0o600); err != nil {
		t.Fatal(err)
	}
	himal, steadyhand := examplesPath+"himal.yaml", examplesPath+"steadyhand.yaml"
	for _, v := range []struct {
		name, want string
		command    *cobra.Command
		arguments  []string
	}{
		{"check-faulty", "14 faults", newCheck(), []string{file}},
		{"check-himal", "himal.yaml: ok", newCheck(), []string{himal}},
		{"check-steadyhand", "steadyhand.yaml: ok", newCheck(), []string{steadyhand}},
		{"check-missing", "no such file", newCheck(), []string{examplesPath + "none.yaml"}},
		{"show-lookup", "priority", newShow(), []string{himal, "--place", "himal", "--service", "parts", "--kind", "lookup"}},
		{"show-book", "once", newShow(), []string{steadyhand, "--place", "steadyhand", "--service", "jobs", "--kind", "book"}},
		{"show-root", "fleet", newShow(), []string{himal}},
		{"show-unknown", "did you mean", newShow(), []string{himal, "--place", "himal", "--service", "part"}},
		{"show-without-service", "--service", newShow(), []string{himal, "--place", "himal", "--kind", "lookup"}},
	} {
		got := strings.ReplaceAll(execute(v.command, v.arguments...), filepath.Dir(file)+"/", "")
		if !strings.Contains(got, v.want) {
			t.Errorf("%s: no %q in\n%s", v.name, v.want, got)
		}
		goldie.New(t).Assert(t, v.name, []byte(got))
	}
}

// docs/SETTINGS.md must be the output of the subcommand settings, and the worked examples
// on it must be the output of the subcommand show.
func TestSettingsPage(t *testing.T) {
	var page, committed []byte
	var err error
	page = []byte(execute(newSettings()))
	if committed, err = os.ReadFile("../../../docs/SETTINGS.md"); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(page, committed) {
		t.Error("docs/SETTINGS.md differs from the output of: oriolecourse settings")
	}
	for _, name := range []string{"show-lookup", "show-book"} {
		var golden []byte
		if golden, err = os.ReadFile("testdata/" + name + ".golden"); err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(page, golden) {
			t.Errorf("the page does not contain %s.golden", name)
		}
	}
}
