package commander

import (
	"io"
	"text/template"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// newPage returns a subcommand that prints a page of documentation with write.
func newPage(use, short string, write func(out io.Writer) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return write(c.OutOrStdout()) },
	}
}

// render executes the template text with data and writes the result.
func render(out io.Writer, text string, data any) error {
	t, err := template.New("page").Parse(text)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Execute(out, data))
}
