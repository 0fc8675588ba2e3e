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

// compareCommand prints a comparison of the results of a benchmark.
func compareCommand() *cobra.Command {
	comparison := &comparer.Comparison{}
	c := &cobra.Command{
		Use:   "compare RESULT...",
		Short: "Print a comparison of results by their labels scene and policy",
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
	c.Flags().DurationVar(&comparison.Warmup, "warmup", 0, "time at the start of each load that is left out of the results")
	return c
}

// stretchCommand scales the durations and rates of a settings tree, for a benchmark that
// scales all times by one factor.
func stretchCommand() *cobra.Command {
	var factor float64
	c := &cobra.Command{
		Use:   "stretch",
		Short: "Multiply all durations of the settings tree on standard input by a factor and divide all rates by it",
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
			scaleTimes(&tree, factor)
			return trace.Wrap(yaml.NewEncoder(c.OutOrStdout()).Encode(&tree))
		},
	}
	c.Flags().Float64Var(&factor, "factor", 1, "factor for durations")
	return c
}

// scaleTimes multiplies all durations below a node by the factor and divides all rates by
// it. It limits durations to the maximum of their settings.
func scaleTimes(n *yaml.Node, factor float64) {
	for i, child := range n.Content {
		if n.Kind == yaml.MappingNode && i%2 == 1 && child.Kind == yaml.ScalarNode {
			child.Tag, child.Value = "", scaleSetting(n.Content[i-1].Value, child.Value, factor)
		}
		scaleTimes(child, factor)
	}
}

// scaleSetting returns the scaled value of a setting. Values that are neither a duration
// nor a rate stay unchanged.
func scaleSetting(name, value string, factor float64) string {
	if rate, err := strconv.ParseFloat(value, 64); err == nil && name == "rate" {
		return strconv.FormatFloat(rate/factor, 'g', -1, 64)
	}
	d, err := time.ParseDuration(value)
	if err != nil || d == 0 {
		return value
	}
	d = time.Duration(float64(d) * factor)
	for _, r := range parser.Records {
		if maximum, err := time.ParseDuration(r.Max); err == nil && r.Name == name {
			d = min(d, maximum)
		}
	}
	return d.String()
}
