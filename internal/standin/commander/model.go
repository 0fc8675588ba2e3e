package commander

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/standin/modeler"
)

// modelSeeds is the number of plays of each load.
const modelSeeds = 5

func modelCommand() *cobra.Command {
	seeds, plot, only := modelSeeds, "", ""
	c := &cobra.Command{
		Use:   "model",
		Short: "Play loads against ways to place requests in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var loads []modeler.Workload
			for _, l := range modeler.Workloads {
				if only == "" || only == l.Name {
					loads = append(loads, l)
				}
			}
			rows := modeler.Simulate(loads, modeler.Strategies, seeds)
			if err := modeler.Print(rows, c.OutOrStdout()); err != nil || plot == "" {
				return err
			}
			f, err := os.Create(plot)
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			return trace.NewAggregate(modeler.Plot(rows, f), f.Close())
		},
	}
	c.Flags().IntVar(&seeds, "seeds", seeds, "plays of each load")
	c.Flags().StringVar(&plot, "plot", plot, "file for a plot as SVG")
	c.Flags().StringVar(&only, "load", only, "one load only")
	return c
}
