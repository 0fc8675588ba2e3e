package commander

import (
	"time"

	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/standin/ranker"
)

// defaultRankLength is the default length of a simulation in virtual time.
const defaultRankLength = 20 * time.Second

func rankCommand() *cobra.Command {
	length := defaultRankLength
	c := &cobra.Command{
		Use:   "rank",
		Short: "Rank ways to choose targets of one service by simulations in virtual time",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { ranker.Rank(length, c.OutOrStdout()) },
	}
	c.Flags().DurationVar(&length, "length", length, "length of a simulation in virtual time")
	return c
}
