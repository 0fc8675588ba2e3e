package commander

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/version/parser"
)

// showOptions are the flags of the subcommand show.
var showOptions = []option{
	{name: "place", help: "name of a place; empty for the root of the tree", check: checkName},
	{name: "service", help: "name of a service of the place; empty for the place itself", check: checkName},
	{name: "kind", help: "name of a kind of the service; empty for the service itself", check: checkName},
}

func newShow() *cobra.Command {
	c := &cobra.Command{
		Use:   "show FILE",
		Short: "Show the effective settings and the level that each value comes from",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			var v values
			var err error
			if v, err = readValues(c, showOptions); err != nil {
				return trace.Wrap(err)
			}
			return show(arguments[0], v, c.OutOrStdout())
		},
	}
	addFlags(c, showOptions)
	return c
}

func show(file string, v values, out io.Writer) error {
	if v["kind"] != "" && v["service"] == "" || v["service"] != "" && v["place"] == "" {
		return trace.BadParameter("a kind needs --service, and a service needs --place")
	}
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return trace.ConvertSystemError(err)
	}
	var settings []parser.EffectiveSetting
	if settings, err = parser.Effective(text, v["place"], v["service"], v["kind"]); err != nil {
		return trace.Wrap(err, "%s", file)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SETTING\tVALUE\tFROM")
	for _, s := range settings {
		fmt.Fprintf(w, "%s\t%s\t%s\n", s.Name, s.Value, s.Source)
	}
	return trace.Wrap(w.Flush())
}
