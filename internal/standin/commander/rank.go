package commander

import (
	"time"

	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/standin/ranker"
)

// rankLength is the virtual length of a ranked run.
const rankLength = 20 * time.Second

func rankCommand() *cobra.Command {
	length := rankLength
	c := &cobra.Command{
		Use:   "rank",
		Short: "Rank ways to choose targets of one service in virtual time",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { ranker.Rank(length, c.OutOrStdout()) },
	}
	c.Flags().DurationVar(&length, "length", length, "virtual length of a run")
	return c
}
