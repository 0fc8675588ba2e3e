package commander

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/process/correlator"
	"oriolecourse.example/oriolecourse/internal/process/journaler"
	"oriolecourse.example/oriolecourse/internal/process/meter"
)

func newTrace() *cobra.Command {
	around := time.Duration(0)
	c := &cobra.Command{
		Use:   "trace REQUEST FILE...",
		Short: "Tell the story of one request from the logs of instances",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, arguments []string) error {
			s := &correlator.Story{}
			for _, path := range arguments[1:] {
				if err := readLog(s, path); err != nil {
					return err
				}
			}
			return s.Tell(c.OutOrStdout(), arguments[0], around)
		},
	}
	c.Flags().DurationVar(&around, "around", 0, "also tell what else happened at the instances so long before and after")
	return c
}

func readLog(s *correlator.Story, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	_, err = s.Read(f)
	return trace.Wrap(err, path)
}

func newCounters() *cobra.Command {
	return &cobra.Command{
		Use:   "counters",
		Short: "Print the reference page of the counters of an instance on a platform",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return meter.Print(c.OutOrStdout()) },
	}
}

func newLogs() *cobra.Command {
	return &cobra.Command{
		Use:   "logs",
		Short: "Print the reference page of the log lines",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := journaler.Print(c.OutOrStdout()); err != nil {
				return fmt.Errorf("printing the page: %w", err)
			}
			return nil
		},
	}
}
