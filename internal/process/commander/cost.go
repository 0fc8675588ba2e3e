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

// costOptions are the flags of the subcommand cost.
var costOptions = []option{
	{name: "admin", help: "admin addresses of the instances, separated by commas", required: true, check: checkAddressList},
}

func newCost() *cobra.Command {
	c := &cobra.Command{
		Use:   "cost",
		Short: "Print the cost of requests and the overhead of load balancing, collected from the live instances",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := readValues(c, costOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return cost(c.Context(), split(v["admin"]), c.OutOrStdout())
		},
	}
	addFlags(c, costOptions)
	return c
}

// cost prints the merged cost reports of the instances at the admin addresses and of all
// peers that it finds through them.
func cost(ctx context.Context, admins []string, out io.Writer) error {
	c := costCollector{asked: map[string]bool{}, peers: map[string]server.Peer{}}
	for len(admins) > 0 {
		admin := admins[0]
		admins = admins[1:]
		if !c.asked[admin] {
			admins = append(admins, c.collect(ctx, admin)...)
		}
	}
	if len(c.reports) == 0 {
		return trace.NotFound("no instance returned a cost report")
	}
	return trace.Wrap(accountant.Merge(c.reports, c.missing()).Write(out))
}

// costCollector collects the cost reports of instances.
type costCollector struct {
	// asked holds the admin addresses to which a request was sent.
	asked   map[string]bool
	reports []accountant.Report
	// withoutReport holds the admin addresses that returned no valid report.
	withoutReport []string
	// peers holds the members that the instances know, by address for callers.
	peers map[string]server.Peer
}

// collect adds the report of one instance and returns the admin addresses of its peers.
func (c *costCollector) collect(ctx context.Context, admin string) []string {
	c.asked[admin] = true
	var report accountant.Report
	if err := fetchJSON(ctx, "http://"+admin+"/v1/cost", &report); err != nil {
		c.withoutReport = append(c.withoutReport, admin)
		return nil
	}
	c.reports = append(c.reports, report)
	var peers []server.Peer
	if err := fetchJSON(ctx, "http://"+admin+"/v1/peers", &peers); err != nil {
		return nil
	}
	var more []string
	for _, p := range peers {
		c.peers[p.Address] = p
		if p.Admin != "" {
			more = append(more, p.Admin)
		}
	}
	return more
}

// missing returns the addresses of the instances without a report: the admin addresses
// that returned none, and the caller addresses of peers that were not asked because no
// instance knew their admin address.
func (c *costCollector) missing() []string {
	missing := c.withoutReport
	reported := map[string]bool{}
	for _, r := range c.reports {
		reported[r.Instance.String()] = true
	}
	for address, p := range c.peers {
		if !reported[address] && !c.asked[p.Admin] {
			missing = append(missing, address)
		}
	}
	return missing
}

// fetchJSON sends a GET request for pageURL and decodes the JSON response into value.
func fetchJSON(ctx context.Context, pageURL string, value any) error {
	text, err := fetch(ctx, pageURL)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(text, value), "the response of %s is not valid JSON", pageURL)
}
