package commander

import (
	"testing"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

var testOptions = []option{
	{name: "peer", text: "address", required: true, check: checkAddress},
	{name: "trace", text: "exporter", fallback: "none", check: oneOf("none", "stdout")},
}

func TestRead(t *testing.T) {
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
		{name: "name for address", variable: "host:1", fault: `--peer or ORIOLECOURSE_PEER: "host:1" is not an IP address and port such as 10.0.0.7:7000`},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if c.variable != "" {
				t.Setenv("ORIOLECOURSE_PEER", c.variable)
			}
			var found values
			var err error
			command := &cobra.Command{SilenceErrors: true, SilenceUsage: true, RunE: func(command *cobra.Command, _ []string) error {
				found, err = read(command, testOptions)
				return nil
			}}
			register(command, testOptions)
			command.SetArgs(c.arguments)
			require.NoError(t, command.Execute())
			if c.fault != "" {
				require.ErrorContains(t, err, c.fault)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.peer, found["peer"])
			require.Equal(t, "none", found["trace"], "the default stands")
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
		{"addresses", checkAddresses, []string{"10.0.0.1:1", "10.0.0.1:1,[::1]:2"}, []string{"10.0.0.1:1,", "x", "10.0.0.1:0"}},
		{"url", checkURL, []string{"http://10.0.0.1:1", "https://a.example"}, []string{"10.0.0.1:1", "ftp://a", "http://"}},
		{"keys", checkKeys, []string{"00112233445566778899aabbccddeeff"}, []string{"0011", "zz112233445566778899aabbccddeeff"}},
		{"word", checkWord, []string{"a-1"}, []string{"A", "a b", "ä"}},
	}
	for _, c := range tests {
		for _, good := range c.good {
			require.NoError(t, c.check(good), "%s accepts %q", c.name, good)
		}
		for _, bad := range c.bad {
			require.True(t, trace.IsBadParameter(c.check(bad)), "%s refuses %q", c.name, bad)
		}
	}
}
