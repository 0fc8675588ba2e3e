package commander

import (
	"fmt"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/standin/ablator"
)

// ablateCommand switches a mechanism of the decisions off in a copy of the source.
func ablateCommand() *cobra.Command {
	root := ""
	c := &cobra.Command{
		Use:   "ablate [MECHANISM]",
		Short: "Switch a mechanism of the decisions off in a copy of the source, or list the mechanisms",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				for _, m := range ablator.Mechanisms {
					if _, err := fmt.Fprintf(c.OutOrStdout(), "%-12s %s\n", m.Name, m.Answers); err != nil {
						return trace.Wrap(err)
					}
				}
				return nil
			}
			if root == "" {
				return trace.BadParameter("--root must name a copy of the source")
			}
			return ablator.Apply(root, args[0])
		},
	}
	c.Flags().StringVar(&root, "root", root, "root of the copy")
	return c
}
