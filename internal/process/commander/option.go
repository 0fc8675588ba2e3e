package commander

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// variablePrefix is the prefix of all environment variables of the command.
const variablePrefix = "ORIOLECOURSE_"

// keyIDBytes is the length of a key id in bytes. The id is the start of the SHA-256 digest
// of the key. Instances send it to each other to say which key they use.
const keyIDBytes = 4

// option describes one flag and its environment variable.
type option struct {
	// name is the name of the flag. The name of the variable is variablePrefix and
	// this name in upper case.
	name         string
	help         string
	defaultValue string
	required     bool
	// check returns an error if value is invalid. It is not called for an empty value.
	check func(value string) error
}

// variable returns the environment variable of the option.
func (o option) variable() string {
	return variablePrefix + strings.ToUpper(o.name)
}

// addFlags adds the flags of the options to a command.
func addFlags(c *cobra.Command, options []option) {
	for _, o := range options {
		c.Flags().String(o.name, o.defaultValue, o.help+" (environment: "+o.variable()+")")
	}
}

// values maps the name of each flag to its checked value.
type values map[string]string

// readValues returns the values of the options. A flag has precedence over its
// environment variable, and the variable over the default.
func readValues(c *cobra.Command, options []option) (values, error) {
	v := values{}
	var faults []error
	for _, o := range options {
		value, err := o.read(c)
		if err != nil {
			faults = append(faults, err)
		}
		v[o.name] = value
	}
	return v, trace.NewAggregate(faults...)
}

// read returns the checked value of the option. The value may be empty if the option is
// not required.
func (o option) read(c *cobra.Command) (string, error) {
	value, err := c.Flags().GetString(o.name)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if set, ok := os.LookupEnv(o.variable()); ok && !c.Flags().Changed(o.name) {
		value = set
	}
	if value == "" {
		if o.required {
			return "", trace.BadParameter("set --%s or %s: %s", o.name, o.variable(), o.help)
		}
		return "", nil
	}
	if o.check == nil {
		return value, nil
	}
	if err := o.check(value); err != nil {
		return "", trace.BadParameter("--%s or %s: %s", o.name, o.variable(), trace.UserMessage(err))
	}
	return value, nil
}

// address returns the address in a value that passed checkAddress.
func (v values) address(name string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(v[name])
	return a
}

// addresses returns the addresses in a value that passed checkAddressList.
func (v values) addresses(name string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, part := range split(v[name]) {
		a, _ := netip.ParseAddrPort(part)
		list = append(list, a)
	}
	return list
}

// keys returns the keys in a value that passed checkKeys.
func (v values) keys(name string) framer.Keys {
	var keys framer.Keys
	for _, part := range split(v[name]) {
		secret, _ := hex.DecodeString(part)
		digest := sha256.Sum256(secret)
		keys = append(keys, framer.Key{ID: hex.EncodeToString(digest[:keyIDBytes]), Secret: secret})
	}
	return keys
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func checkAddress(value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return trace.BadParameter("%q is not an IP address and port such as 10.0.0.7:7000", value)
	}
	return nil
}

func checkAddressList(value string) error {
	for _, part := range split(value) {
		if err := checkAddress(part); err != nil {
			return err
		}
	}
	return nil
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return trace.BadParameter("%q is not a URL such as http://10.0.0.2:8000", value)
	}
	return nil
}

func checkKeys(value string) error {
	for _, part := range split(value) {
		key, err := hex.DecodeString(part)
		if err != nil || len(key) < framer.MinSecretBytes {
			return trace.BadParameter("each key must be hexadecimal and have at least %d bytes", framer.MinSecretBytes)
		}
	}
	return nil
}

func checkName(value string) error {
	for _, r := range value {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return trace.BadParameter("%q may contain only a-z, 0-9 and -", value)
		}
	}
	return nil
}

// oneOf returns a check that accepts only the allowed values.
func oneOf(allowed ...string) func(string) error {
	return func(value string) error {
		for _, a := range allowed {
			if value == a {
				return nil
			}
		}
		return trace.BadParameter("%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}
