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

// explainOptions are the flags of the verb explain.
var explainOptions = []option{
	{name: "admin", text: "admin address of the instance", required: true, check: checkAddress},
}

func newExplain() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain",
		Short: "Print what an instance believes and why its last choices fell as they did",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			found, err := read(c, explainOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return explain(c.Context(), found["admin"], c.OutOrStdout())
		},
	}
	register(c, explainOptions)
	return c
}

func explain(ctx context.Context, admin string, out io.Writer) error {
	text, err := get(ctx, "http://"+admin+"/v1/explain")
	if err != nil {
		return trace.Wrap(err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(text), "", "  "); err != nil {
		return trace.Wrap(err, "the answer of %s is not valid", admin)
	}
	_, err = fmt.Fprintln(out, indented.String())
	return trace.Wrap(err)
}
