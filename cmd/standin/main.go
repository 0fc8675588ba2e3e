// Command standin runs simulated platforms, targets and callers for tests, the demo
// and the benchmark.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oriolecourse.example/oriolecourse/internal/standin/commander"
	"oriolecourse.example/oriolecourse/platform/pairer"
	"oriolecourse.example/oriolecourse/platform/profiler"
	"oriolecourse.example/oriolecourse/platform/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := commander.Command()
	c.AddCommand(soak.NewCommand(), pairer.NewCommand(), profiler.NewCommand())
	if err := c.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
