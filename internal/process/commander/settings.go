package commander

import (
	_ "embed"
	"io"

	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/version/parser"
)

//go:embed settings.md
var settingsPage string

func newSettings() *cobra.Command {
	return newPage("settings", "Print the reference of the settings tree", writeSettings)
}

// writeSettings writes the page that docs/SETTINGS.md holds.
func writeSettings(out io.Writer) error {
	return render(out, settingsPage, settingsReference{
		Records: parser.Records,
		Rules:   parser.RuleTexts(),
		MaxSize: parser.MaxDocumentBytes,
	})
}

// settingsReference is what the page's template is filled with.
type settingsReference struct {
	Records []parser.Record
	Rules   []parser.RuleText
	MaxSize int
}
