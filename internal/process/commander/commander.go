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
	exitSuccess = 0
	exitFailed  = 1
)

// Run executes the command with its arguments and returns the exit code. It adds
// extraCommands, such as those of adapters, to the subcommands of this package.
func Run(arguments []string, out, errOut io.Writer, extraCommands ...*cobra.Command) int {
	c := newRoot()
	c.AddCommand(extraCommands...)
	c.SetArgs(arguments)
	c.SetOut(out)
	c.SetErr(errOut)
	if err := c.Execute(); err != nil {
		fmt.Fprintf(errOut, "oriolecourse: %s\n", trace.UserMessage(err))
		return exitFailed
	}
	return exitSuccess
}

func newRoot() *cobra.Command {
	c := &cobra.Command{
		Use:           "oriolecourse",
		Short:         "A load balancer for servers whose load changes within milliseconds",
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
