// Command oriolecourse is the load balancer: it runs an instance and talks to
// running ones.
package main

import (
	"os"

	"oriolecourse.example/oriolecourse/internal/process/commander"
	"oriolecourse.example/oriolecourse/platform"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr, platform.NewCommand()))
}
