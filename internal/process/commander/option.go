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

// prefix starts the name of every environment variable.
const prefix = "ORIOLECOURSE_"

// keyNameBytes is the part of a key's digest that names the key between instances.
const keyNameBytes = 4

// option describes one flag and its environment variable.
type option struct {
	// name is the flag; the variable is the prefix and the name in capitals.
	name string
	text string
	// fallback is the default.
	fallback string
	required bool
	// check refuses an invalid value; it is not called for an empty one.
	check func(value string) error
}

// variable returns the environment variable of the option.
func (o option) variable() string {
	return prefix + strings.ToUpper(o.name)
}

// register adds the flags of the options to a command.
func register(c *cobra.Command, options []option) {
	for _, o := range options {
		c.Flags().String(o.name, o.fallback, o.text+" (environment: "+o.variable()+")")
	}
}

// values holds the checked values by flag.
type values map[string]string

// read returns the values of the options: a flag goes before its environment
// variable, which goes before the default.
func read(c *cobra.Command, options []option) (values, error) {
	found := values{}
	var faults []error
	for _, o := range options {
		value, err := o.read(c)
		if err != nil {
			faults = append(faults, err)
		}
		found[o.name] = value
	}
	return found, trace.NewAggregate(faults...)
}

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
			return "", trace.BadParameter("set --%s or %s: %s", o.name, o.variable(), o.text)
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

// address returns a value that checkAddress has accepted.
func (v values) address(name string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(v[name])
	return a
}

// addresses returns a list that checkAddresses has accepted.
func (v values) addresses(name string) []netip.AddrPort {
	var found []netip.AddrPort
	for _, part := range split(v[name]) {
		a, _ := netip.ParseAddrPort(part)
		found = append(found, a)
	}
	return found
}

// keys returns a list that checkKeys has accepted.
func (v values) keys(name string) framer.Keys {
	var found framer.Keys
	for _, part := range split(v[name]) {
		secret, _ := hex.DecodeString(part)
		digest := sha256.Sum256(secret)
		found = append(found, framer.Key{ID: hex.EncodeToString(digest[:keyNameBytes]), Secret: secret})
	}
	return found
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

func checkAddresses(value string) error {
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
			return trace.BadParameter("a key has at least %d bytes in hexadecimal", framer.MinSecretBytes)
		}
	}
	return nil
}

func checkWord(value string) error {
	for _, r := range value {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return trace.BadParameter("%q may hold only a-z, 0-9 and -", value)
		}
	}
	return nil
}

// oneOf accepts the listed values only.
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
