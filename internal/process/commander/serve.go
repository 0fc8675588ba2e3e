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

// serveOptions are the flags of the subcommand serve.
var serveOptions = []option{
	{name: "address", help: "address and port for callers", required: true, check: checkAddress},
	{name: "peer", help: "address and port for the other instances", required: true, check: checkAddress},
	{name: "admin", help: "address and port for operators", required: true, check: checkAddress},
	{name: "place", help: "place of the settings tree that the instance serves", required: true, check: checkName},
	{name: "zone", help: "availability zone of the instance", required: true, check: checkName},
	{name: "platform", help: "URL of the platform's configuration service", required: true, check: checkURL},
	{name: "seeds", help: "peer addresses to try first, separated by commas", check: checkAddressList},
	{name: "keys", help: "keys shared by all instances, in hexadecimal, separated by commas; the first key signs", required: true, check: checkKeys},
	{name: "trace", help: "where spans are written: none or stdout", defaultValue: tracer.None, check: oneOf(tracer.None, tracer.Stdout)},
	{name: "policy", help: "how targets are chosen: ours, or a baseline for comparison: random, robin or two", defaultValue: "ours", check: oneOf("ours", "random", "robin", "two")},
	{name: "spread", help: "whether address responses name all instances, for comparison: true or false", defaultValue: "false", check: oneOf("true", "false")},
}

func newServe() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an instance",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := readValues(c, serveOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return serve(v, c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	addFlags(c, serveOptions)
	return c
}

func serve(v values, out, errOut io.Writer) error {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(errOut)),
		"time", log.DefaultTimestampUTC, "instance", v["address"])
	m := meter.New()
	t, err := tracer.New(v["trace"], out)
	if err != nil {
		return trace.Wrap(err)
	}
	err = assembler.New(assembler.Options{
		Address:          v.address("address"),
		Peer:             v.address("peer"),
		Admin:            v.address("admin"),
		Place:            v["place"],
		Zone:             v["zone"],
		PlatformURL:      v["platform"],
		Seeds:            v.addresses("seeds"),
		Keys:             v.keys("keys"),
		Baseline:         v["policy"],
		NameAllInstances: v["spread"] == "true",
		Logger:           logger,
		Scope:            m.Scope,
		MetricsHandler:   m.Handler,
		Tracer:           t,
	}).Run()
	return trace.NewAggregate(err, t.Close(context.Background()), m.Close())
}
