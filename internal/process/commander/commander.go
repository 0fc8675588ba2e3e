package commander

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// Version is the released version of the program.
const Version = "0.1.0"

// The exit codes of the command.
const (
	exitDone   = 0
	exitFailed = 1
)

// Run executes the command with its arguments and returns the exit code. Further
// verbs, such as those of adapters, stand beside the product's own.
func Run(arguments []string, out, errors io.Writer, further ...*cobra.Command) int {
	c := newRoot()
	c.AddCommand(further...)
	c.SetArgs(arguments)
	c.SetOut(out)
	c.SetErr(errors)
	if err := c.Execute(); err != nil {
		fmt.Fprintf(errors, "oriolecourse: %s\n", trace.UserMessage(err))
		return exitFailed
	}
	return exitDone
}

func newRoot() *cobra.Command {
	c := &cobra.Command{
		Use:           "oriolecourse",
		Short:         "A load balancer for servers whose load shifts in milliseconds",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.AddCommand(
		newServe(), newAsk(), newCost(), newExplain(),
		newCheck(), newShow(), newSettings(), newCallers(), newTrace(), newLogs(), newCounters(), newVersion(),
	)
	return c
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "oriolecourse", Version)
			return trace.Wrap(err)
		},
	}
}
