package commander

import (
	_ "embed"
	"io"
	"text/template"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/request/handler"
)

//go:embed callers.md
var callersPage string

func newCallers() *cobra.Command {
	return &cobra.Command{
		Use:   "callers",
		Short: "Print the page for callers",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return writeCallers(c.OutOrStdout()) },
	}
}

// writeCallers writes the page that docs/CALLERS.md holds.
func writeCallers(out io.Writer) error {
	t, err := template.New("callers").Parse(callersPage)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Execute(out, handler.Records))
}
