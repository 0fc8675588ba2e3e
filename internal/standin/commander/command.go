package commander

import (
	"net/netip"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// environment is the prefix of the variables that set flags.
const environment = "STANDIN_"

// loopback is the standard address of a stand-in: a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// place is where a stand-in listens and how it tells.
type place struct {
	address netip.AddrPort
	ready   string
}

// Command returns the whole command line.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:               "standin",
		Short:             "Stand-ins for the platform, the targets and the callers",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error { return fromEnvironment(c.Flags()) },
	}
	root.AddCommand(platformCommand(), targetCommand(), recorderCommand(),
		loadCommand(), judgeCommand(), sendCommand(), compareCommand(), stretchCommand(), rankCommand(), modelCommand())
	return root
}

// fromEnvironment sets each flag that was not given from its variable.
func fromEnvironment(flags *pflag.FlagSet) error {
	var fault error
	flags.VisitAll(func(f *pflag.Flag) {
		name := environment + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		text, found := os.LookupEnv(name)
		if !found || f.Changed || fault != nil {
			return
		}
		if err := flags.Set(f.Name, text); err != nil {
			fault = trace.BadParameter("flag --%s, variable %s: %v", f.Name, name, err)
		}
	})
	return fault
}

// bind adds the flags of a listening stand-in.
func (p *place) bind(flags *pflag.FlagSet) {
	flags.TextVar(&p.address, "address", loopback, "ip:port to listen on; port 0 takes a free one")
	flags.StringVar(&p.ready, "ready", "", "file that receives the address when the stand-in listens")
}
