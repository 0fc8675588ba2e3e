package commander

import (
	_ "embed"
	"io"

	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/request/handler"
)

//go:embed callers.md
var callersPage string

func newCallers() *cobra.Command {
	return newPage("callers", "Print the page for callers", writeCallers)
}

// writeCallers writes the content of docs/CALLERS.md.
func writeCallers(out io.Writer) error {
	return render(out, callersPage, handler.CauseInfos)
}
