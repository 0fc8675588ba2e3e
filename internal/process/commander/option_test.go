package commander

import (
	"testing"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

var testOptions = []option{
	{name: "peer", help: "address", required: true, check: checkAddress},
	{name: "trace", help: "exporter", defaultValue: "none", check: oneOf("none", "stdout")},
}

func TestReadValues(t *testing.T) {
	tests := []struct {
		name      string
		arguments []string
		variable  string
		peer      string
		fault     string
	}{
		{name: "flag", arguments: []string{"--peer", "10.0.0.1:1"}, peer: "10.0.0.1:1"},
		{name: "variable", variable: "10.0.0.2:2", peer: "10.0.0.2:2"},
		{name: "flag before variable", arguments: []string{"--peer", "10.0.0.1:1"}, variable: "10.0.0.2:2", peer: "10.0.0.1:1"},
		{name: "missing", fault: "set --peer or ORIOLECOURSE_PEER: address"},
		{name: "no port", variable: "10.0.0.2", fault: `--peer or ORIOLECOURSE_PEER: "10.0.0.2" is not an IP address and port such as 10.0.0.7:7000`},
		{name: "host name", variable: "host:1", fault: `--peer or ORIOLECOURSE_PEER: "host:1" is not an IP address and port such as 10.0.0.7:7000`},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if c.variable != "" {
				t.Setenv("ORIOLECOURSE_PEER", c.variable)
			}
			var v values
			var err error
			command := &cobra.Command{SilenceErrors: true, SilenceUsage: true, RunE: func(command *cobra.Command, _ []string) error {
				v, err = readValues(command, testOptions)
				return nil
			}}
			addFlags(command, testOptions)
			command.SetArgs(c.arguments)
			require.NoError(t, command.Execute())
			if c.fault != "" {
				require.ErrorContains(t, err, c.fault)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.peer, v["peer"])
			require.Equal(t, "none", v["trace"], "the default value must apply")
		})
	}
}

func TestChecks(t *testing.T) {
	tests := []struct {
		name  string
		check func(string) error
		good  []string
		bad   []string
	}{
		{"addresses", checkAddressList, []string{"10.0.0.1:1", "10.0.0.1:1,[::1]:2"}, []string{"10.0.0.1:1,", "x", "10.0.0.1:0"}},
		{"url", checkURL, []string{"http://10.0.0.1:1", "https://a.example"}, []string{"10.0.0.1:1", "ftp://a", "http://"}},
		{"keys", checkKeys, []string{"00112233445566778899aabbccddeeff"}, []string{"0011", "zz112233445566778899aabbccddeeff"}},
		{"name", checkName, []string{"a-1"}, []string{"A", "a b", "ä"}},
	}
	for _, c := range tests {
		for _, good := range c.good {
			require.NoError(t, c.check(good), "%s must accept %q", c.name, good)
		}
		for _, bad := range c.bad {
			require.True(t, trace.IsBadParameter(c.check(bad)), "%s must reject %q", c.name, bad)
		}
	}
}
