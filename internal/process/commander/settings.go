package commander

import (
	_ "embed"
	"io"
	"text/template"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/version/parser"
)

//go:embed settings.md
var settingsPage string

func newSettings() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Print the reference of the settings tree",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return writeSettings(c.OutOrStdout()) },
	}
}

// writeSettings writes the page that docs/SETTINGS.md holds.
func writeSettings(out io.Writer) error {
	var t *template.Template
	var err error
	if t, err = template.New("settings").Parse(settingsPage); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Execute(out, settingsReference{
		Records: parser.Records,
		Rules:   parser.RuleTexts(),
		MaxSize: parser.MaxSize,
	}))
}

// settingsReference is what the page's template is filled with.
type settingsReference struct {
	Records []parser.Record
	Rules   []parser.RuleText
	MaxSize int
}
