package registrar

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// The bounds on the fields of a run. Targets stay far below them; what exceeds them was written
// by nobody who runs one. Names travel in headers, metrics and messages between instances.
const (
	maxNameBytes  = 200
	maxSlots      = 1 << 20
	maxWarmupLeft = 24 * time.Hour
	// maxStartMs is the greatest whole number that all writers of JSON keep exactly.
	maxStartMs = 1 << 53
)

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// runChecks holds the conditions on the fields of a run.
var runChecks = []struct {
	field    string
	holds    func(r *Run) bool
	value    func(r *Run) any
	expected string
}{
	{"name", func(r *Run) bool { return isName(r.Name) }, func(r *Run) any { return r.Name }, "a text for a header of 1 to 200 bytes"},
	{"service", func(r *Run) bool { return isName(r.Service) }, func(r *Run) any { return r.Service }, "a text for a header of 1 to 200 bytes"},
	{"zone", func(r *Run) bool { return r.Zone == "" || isName(r.Zone) }, func(r *Run) any { return r.Zone }, "a text for a header of at most 200 bytes"},
	{"address", func(r *Run) bool { return isHost(r.Address) }, func(r *Run) any { return r.Address }, "the IPv4 address of a host with a port"},
	{"number of slots", func(r *Run) bool { return r.Slots >= 1 && r.Slots <= maxSlots }, func(r *Run) any { return r.Slots }, "1 to 1048576"},
	{"warm-up", func(r *Run) bool { return r.WarmupLeft >= 0 && r.WarmupLeft <= maxWarmupLeft }, func(r *Run) any { return r.WarmupLeft }, "0 to 24h"},
	{"start", func(r *Run) bool { return r.StartMs >= 0 && r.StartMs <= maxStartMs }, func(r *Run) any { return r.StartMs }, "0 to 2^53 milliseconds"},
}

// Check returns an error that names the first field of the run that cannot be that of a target.
func (r *Run) Check() error {
	for i := range runChecks {
		if c := &runChecks[i]; !c.holds(r) {
			return trace.BadParameter("invalid %s %.100q, expected %s", c.field, fmt.Sprint(c.value(r)), c.expected)
		}
	}
	return nil
}

// isHost reports whether an address can be that of one host.
func isHost(a netip.AddrPort) bool {
	host := a.Addr()
	return host.Is4() && !host.IsUnspecified() && !host.IsMulticast() && host != broadcast && a.Port() != 0
}

// isName reports whether a text can be the name of a target, a service or a zone.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && s == strings.TrimSpace(s) && utf8.ValidString(s) && httpguts.ValidHeaderFieldValue(s)
}
