// Command oriolecourse runs an instance of the load balancer and sends commands to
// running instances.
package main

import (
	"os"

	"oriolecourse.example/oriolecourse/internal/process/commander"
	"oriolecourse.example/oriolecourse/platform"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr, platform.NewCommand()))
}
