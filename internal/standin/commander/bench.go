package commander

import (
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"oriolecourse.example/oriolecourse/internal/standin/comparer"
	"oriolecourse.example/oriolecourse/internal/version/parser"
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
	c.Flags().Float64Var(&comparison.TimeScale, "stretch", 1, "divide all times by this factor")
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

// stretch multiplies the durations below a node and divides the rates; no value
// goes beyond what the tree's records allow.
func stretch(n *yaml.Node, factor float64) {
	for i, child := range n.Content {
		if n.Kind == yaml.MappingNode && i%2 == 1 && child.Kind == yaml.ScalarNode {
			child.Tag, child.Value = "", stretched(n.Content[i-1].Value, child.Value, factor)
		}
		stretch(child, factor)
	}
}

// stretched returns the value of a setting under another pace of time.
func stretched(name, value string, factor float64) string {
	if rate, err := strconv.ParseFloat(value, 64); err == nil && name == "rate" {
		return strconv.FormatFloat(rate/factor, 'g', -1, 64)
	}
	d, err := time.ParseDuration(value)
	if err != nil || d == 0 {
		return value
	}
	d = time.Duration(float64(d) * factor)
	for _, r := range parser.Records {
		if most, err := time.ParseDuration(r.Max); err == nil && r.Name == name {
			d = min(d, most)
		}
	}
	return d.String()
}
