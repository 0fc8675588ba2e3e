package commander

import (
	"time"

	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/process/correlator"
	"oriolecourse.example/oriolecourse/internal/process/journaler"
	"oriolecourse.example/oriolecourse/internal/process/meter"
)

func newTrace() *cobra.Command {
	around := time.Duration(0)
	c := &cobra.Command{
		Use:   "trace REQUEST FILE...",
		Short: "Print the timeline of one request from the logs of instances",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, arguments []string) error {
			timeline := &correlator.Timeline{}
			for _, path := range arguments[1:] {
				if err := timeline.ReadFile(path); err != nil {
					return err
				}
			}
			return timeline.Print(c.OutOrStdout(), arguments[0], around)
		},
	}
	c.Flags().DurationVar(&around, "around", 0, "also print other lines of the processes that handled the request, from this long before it to this long after it")
	return c
}

func newCounters() *cobra.Command {
	return newPage("counters", "Print the reference page of the metrics of an instance on a platform", meter.Print)
}

func newLogs() *cobra.Command {
	return newPage("logs", "Print the reference page of the log lines", journaler.Print)
}
