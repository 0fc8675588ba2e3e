package commander

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/standin/modeler"
)

// defaultModelSeeds is the default number of simulations of each workload.
const defaultModelSeeds = 5

func modelCommand() *cobra.Command {
	seeds, plotFile, workloadName := defaultModelSeeds, "", ""
	c := &cobra.Command{
		Use:   "model",
		Short: "Simulate workloads with several placement strategies in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var workloads []modeler.Workload
			for _, w := range modeler.Workloads {
				if workloadName == "" || workloadName == w.Name {
					workloads = append(workloads, w)
				}
			}
			rows := modeler.Simulate(workloads, modeler.Strategies, seeds)
			if err := modeler.Print(rows, c.OutOrStdout()); err != nil || plotFile == "" {
				return err
			}
			f, err := os.Create(plotFile)
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			return trace.NewAggregate(modeler.Plot(rows, f), f.Close())
		},
	}
	c.Flags().IntVar(&seeds, "seeds", seeds, "number of simulations of each workload, each with its own seed")
	c.Flags().StringVar(&plotFile, "plot", plotFile, "file that receives a plot as SVG")
	c.Flags().StringVar(&workloadName, "load", workloadName, "name of the only workload to simulate; all by default")
	return c
}
