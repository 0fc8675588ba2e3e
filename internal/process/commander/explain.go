package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// explainOptions are the flags of the subcommand explain.
var explainOptions = []option{
	{name: "admin", help: "admin address of the instance", required: true, check: checkAddress},
}

func newExplain() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain",
		Short: "Print the state that an instance sees and the reasons for its latest choices",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := readValues(c, explainOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return explain(c.Context(), v["admin"], c.OutOrStdout())
		},
	}
	addFlags(c, explainOptions)
	return c
}

func explain(ctx context.Context, admin string, out io.Writer) error {
	text, err := fetch(ctx, "http://"+admin+"/v1/explain")
	if err != nil {
		return trace.Wrap(err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(text), "", "  "); err != nil {
		return trace.Wrap(err, "the response of %s is not valid JSON", admin)
	}
	_, err = fmt.Fprintln(out, indented.String())
	return trace.Wrap(err)
}
