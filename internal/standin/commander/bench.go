package commander

import (
	"io"
	"strconv"
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
		Short: "Multiply every duration of the settings tree on standard input, divide every rate",
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

// stretch multiplies the scalars below a node that are durations and divides
// rates.
func stretch(n *yaml.Node, factor float64) {
	for i, child := range n.Content {
		stretch(child, factor)
		if n.Kind == yaml.MappingNode && i%2 == 1 && n.Content[i-1].Value == "rate" {
			if rate, err := strconv.ParseFloat(child.Value, 64); err == nil {
				child.Value = strconv.FormatFloat(rate/factor, 'g', -1, 64)
			}
		}
	}
	if n.Kind != yaml.ScalarNode {
		return
	}
	if d, err := time.ParseDuration(n.Value); err == nil && d > 0 {
		n.Value = time.Duration(float64(d) * factor).String()
	}
}
