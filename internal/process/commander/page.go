package commander

import (
	"io"
	"text/template"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// newPage returns a verb that prints a page for users.
func newPage(use, short string, write func(out io.Writer) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return write(c.OutOrStdout()) },
	}
}

// render writes a page whose text is a template over records of the code.
func render(out io.Writer, text string, records any) error {
	t, err := template.New("page").Parse(text)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Execute(out, records))
}
