package commander

import (
	"context"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/server"
)

// costOptions are the flags of the verb cost.
var costOptions = []option{
	{name: "admin", text: "admin addresses of the instances, separated by commas", required: true, check: checkAddresses},
}

func newCost() *cobra.Command {
	c := &cobra.Command{
		Use:   "cost",
		Short: "Print what the work and its oversight cost, gathered from the live instances",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			found, err := read(c, costOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return cost(c.Context(), split(found["admin"]), c.OutOrStdout())
		},
	}
	register(c, costOptions)
	return c
}

// cost prints the bill of the instances at the admin addresses and of the peers
// that they know.
func cost(ctx context.Context, admins []string, out io.Writer) error {
	g := gathering{asked: map[string]bool{}, peers: map[string]server.Peer{}}
	for len(admins) > 0 {
		next := admins[0]
		admins = admins[1:]
		if !g.asked[next] {
			admins = append(admins, g.ask(ctx, next)...)
		}
	}
	if len(g.reports) == 0 {
		return trace.NotFound("no instance gave a report")
	}
	return trace.Wrap(accountant.Merge(g.reports, g.missing()).Write(out))
}

// gathering collects reports.
type gathering struct {
	// asked holds the admin addresses that were asked.
	asked   map[string]bool
	reports []accountant.Report
	// silent holds the admin addresses that gave no report.
	silent []string
	// peers holds the members that the instances know, by their address for callers.
	peers map[string]server.Peer
}

// ask reads the report of one instance and returns the admin addresses of its peers.
func (g *gathering) ask(ctx context.Context, admin string) []string {
	g.asked[admin] = true
	var report accountant.Report
	if err := decode(ctx, "http://"+admin+"/v1/cost", &report); err != nil {
		g.silent = append(g.silent, admin)
		return nil
	}
	g.reports = append(g.reports, report)
	var peers []server.Peer
	if err := decode(ctx, "http://"+admin+"/v1/peers", &peers); err != nil {
		return nil
	}
	var more []string
	for _, p := range peers {
		g.peers[p.Address] = p
		if p.Admin != "" {
			more = append(more, p.Admin)
		}
	}
	return more
}

// missing names the instances that gave no report: those that did not answer,
// and those that the others know and nobody named an admin address for.
func (g *gathering) missing() []string {
	missing := g.silent
	reported := map[string]bool{}
	for _, r := range g.reports {
		reported[r.Instance.String()] = true
	}
	for address, p := range g.peers {
		if !reported[address] && !g.asked[p.Admin] {
			missing = append(missing, address)
		}
	}
	return missing
}

// decode reads a JSON page of an instance.
func decode(ctx context.Context, page string, into any) error {
	text, err := get(ctx, page)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(text, into), "the answer of %s is not valid", page)
}
