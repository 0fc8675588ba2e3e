package commander

import (
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"oriolecourse.example/oriolecourse/internal/standin/comparer"
)

// compareCommand puts the results of a bench side by side.
func compareCommand() *cobra.Command {
	comparison := &comparer.Comparison{}
	c := &cobra.Command{
		Use:   "compare RESULT...",
		Short: "Put results side by side by their labels scene and policy",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, path := range args {
				result, err := readResult(path)
				if err != nil {
					return err
				}
				comparison.Add(result)
			}
			return trace.Wrap(comparison.Print(c.OutOrStdout()))
		},
	}
	c.Flags().Float64Var(&comparison.Stretch, "stretch", 1, "divide all times by this factor")
	c.Flags().DurationVar(&comparison.Warmup, "warmup", 0, "time at the start of a load that does not count")
	return c
}

// stretchCommand multiplies the durations of a settings tree.
func stretchCommand() *cobra.Command {
	var factor float64
	c := &cobra.Command{
		Use:   "stretch",
		Short: "Multiply every duration of the settings tree on standard input",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := io.ReadAll(c.InOrStdin())
			if err != nil {
				return trace.Wrap(err)
			}
			var tree yaml.Node
			if err := yaml.Unmarshal(text, &tree); err != nil {
				return trace.Wrap(err)
			}
			stretch(&tree, factor)
			return trace.Wrap(yaml.NewEncoder(c.OutOrStdout()).Encode(&tree))
		},
	}
	c.Flags().Float64Var(&factor, "factor", 1, "the factor")
	return c
}

// stretch multiplies the scalars below a node that are durations.
func stretch(n *yaml.Node, factor float64) {
	for _, child := range n.Content {
		stretch(child, factor)
	}
	if n.Kind != yaml.ScalarNode || strings.Trim(n.Value, "0123456789") == "" {
		return
	}
	if d, err := time.ParseDuration(n.Value); err == nil {
		n.Value = time.Duration(float64(d) * factor).String()
	}
}
