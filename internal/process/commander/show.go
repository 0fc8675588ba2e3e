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

// showOptions are the flags of the verb show.
var showOptions = []option{
	{name: "place", text: "name of a place, none for the root of the tree", check: checkWord},
	{name: "service", text: "name of a service of the place, none for the place itself", check: checkWord},
	{name: "kind", text: "name of a kind of the service, none for the service itself", check: checkWord},
}

func newShow() *cobra.Command {
	c := &cobra.Command{
		Use:   "show FILE",
		Short: "Show the effective settings and the level each value comes from",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			var found values
			var err error
			if found, err = read(c, showOptions); err != nil {
				return trace.Wrap(err)
			}
			return show(arguments[0], found, c.OutOrStdout())
		},
	}
	register(c, showOptions)
	return c
}

func show(file string, found values, out io.Writer) error {
	if found["kind"] != "" && found["service"] == "" || found["service"] != "" && found["place"] == "" {
		return trace.BadParameter("a kind needs --service, and a service needs --place")
	}
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return trace.ConvertSystemError(err)
	}
	var lines []parser.EffectiveSetting
	if lines, err = parser.Effective(text, found["place"], found["service"], found["kind"]); err != nil {
		return trace.Wrap(err, "%s", file)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SETTING\tVALUE\tFROM")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\n", l.Name, l.Value, l.Source)
	}
	return trace.Wrap(w.Flush())
}
