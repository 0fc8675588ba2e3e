package commander

import (
	"net/netip"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// environmentPrefix is the prefix of the environment variables that set flags.
const environmentPrefix = "STANDIN_"

// defaultAddress is the default address of a stand-in. Port 0 selects a free port.
var defaultAddress = netip.MustParseAddrPort("127.0.0.1:0")

// listenFlags holds the flags of a stand-in that listens.
type listenFlags struct {
	address netip.AddrPort
	// readyFile is the path of a file that receives the bound address; empty for none.
	readyFile string
}

// Command returns the root command with all subcommands.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:               "standin",
		Short:             "Stand-ins for the platform, the targets and the callers",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error { return setFromEnvironment(c.Flags()) },
	}
	root.AddCommand(platformCommand(), targetCommand(), recorderCommand(),
		loadCommand(), judgeCommand(), sendCommand(), compareCommand(), stretchCommand(), rankCommand(), modelCommand(), ablateCommand())
	return root
}

// setFromEnvironment sets each flag that is not on the command line from its environment
// variable, if that exists.
func setFromEnvironment(flags *pflag.FlagSet) error {
	var firstErr error
	flags.VisitAll(func(f *pflag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		text, found := os.LookupEnv(name)
		if !found || f.Changed || firstErr != nil {
			return
		}
		if err := flags.Set(f.Name, text); err != nil {
			firstErr = trace.BadParameter("flag --%s has an invalid value in the environment variable %s: %v", f.Name, name, err)
		}
	})
	return firstErr
}

// bind registers the flags.
func (p *listenFlags) bind(flags *pflag.FlagSet) {
	flags.TextVar(&p.address, "address", defaultAddress, "ip:port to listen on; port 0 selects a free port")
	flags.StringVar(&p.readyFile, "ready", "", "file that receives the bound address when the stand-in is ready")
}
