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

// writeSettings writes the content of docs/SETTINGS.md.
func writeSettings(out io.Writer) error {
	return render(out, settingsPage, settingsData{
		Records: parser.Records,
		Rules:   parser.RuleTexts(),
		MaxSize: parser.MaxDocumentBytes,
	})
}

// settingsData is the data for the template of the page.
type settingsData struct {
	Records []parser.Record
	Rules   []parser.RuleText
	MaxSize int
}
