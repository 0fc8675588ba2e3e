package commander

import (
	"context"
	"io"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/process/assembler"
	"oriolecourse.example/oriolecourse/internal/process/meter"
	"oriolecourse.example/oriolecourse/internal/process/tracer"
)

// serveOptions are the flags of the verb serve.
var serveOptions = []option{
	{name: "address", text: "address and port for callers", required: true, check: checkAddress},
	{name: "peer", text: "address and port for the other instances", required: true, check: checkAddress},
	{name: "admin", text: "address and port for operators", required: true, check: checkAddress},
	{name: "place", text: "place of the settings tree that the instance serves", required: true, check: checkWord},
	{name: "zone", text: "availability zone of the instance", required: true, check: checkWord},
	{name: "platform", text: "URL of the platform's configuration service", required: true, check: checkURL},
	{name: "seeds", text: "peer addresses to try first, separated by commas", check: checkAddresses},
	{name: "keys", text: "keys shared by all instances in hexadecimal, separated by commas; the first one signs", required: true, check: checkKeys},
	{name: "trace", text: "where spans go: none or stdout", fallback: tracer.None, check: oneOf(tracer.None, tracer.Stdout)},
	{name: "policy", text: "how targets are chosen: ours, or a baseline for comparison: random, robin, two", fallback: "ours", check: oneOf("ours", "random", "robin", "two")},
	{name: "spread", text: "whether answers name all instances, for comparison: true or false", fallback: "false", check: oneOf("true", "false")},
}

func newServe() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an instance",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			found, err := read(c, serveOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return serve(found, c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	register(c, serveOptions)
	return c
}

func serve(found values, out, errors io.Writer) error {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(errors)),
		"time", log.DefaultTimestampUTC, "instance", found["address"])
	m := meter.New()
	t, err := tracer.New(found["trace"], out)
	if err != nil {
		return trace.Wrap(err)
	}
	err = assembler.New(assembler.Options{
		Address:          found.address("address"),
		Peer:             found.address("peer"),
		Admin:            found.address("admin"),
		Place:            found["place"],
		Zone:             found["zone"],
		PlatformURL:      found["platform"],
		Seeds:            found.addresses("seeds"),
		Keys:             found.keys("keys"),
		Baseline:         found["policy"],
		NameAllInstances: found["spread"] == "true",
		Logger:           logger,
		Scope:            m.Scope,
		MetricsHandler:   m.Handler,
		Tracer:           t,
	}).Run()
	return trace.NewAggregate(err, t.Close(context.Background()), m.Close())
}
