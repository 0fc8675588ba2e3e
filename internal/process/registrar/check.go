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

// Check returns an error that names the first field of the run that cannot be that of a target.
func (r *Run) Check() error {
	a := r.Address.Addr()
	for _, f := range []struct {
		name     string
		valid    bool
		value    any
		expected string
	}{
		{"name", isName(r.Name), r.Name, "a text for a header of 1 to 200 bytes"},
		{"service", isName(r.Service), r.Service, "a text for a header of 1 to 200 bytes"},
		{"zone", r.Zone == "" || isName(r.Zone), r.Zone, "a text for a header of at most 200 bytes"},
		{"address", a.Is4() && !a.IsUnspecified() && !a.IsMulticast() && a != broadcast && r.Address.Port() != 0, r.Address, "the IPv4 address of a host with a port"},
		{"number of slots", r.Slots >= 1 && r.Slots <= maxSlots, r.Slots, "1 to 1048576"},
		{"warm-up", r.WarmupLeft >= 0 && r.WarmupLeft <= maxWarmupLeft, r.WarmupLeft, "0 to 24h"},
		{"start", r.StartMs >= 0 && r.StartMs <= maxStartMs, r.StartMs, "0 to 2^53 milliseconds"},
	} {
		if !f.valid {
			return trace.BadParameter("invalid %s %.100q, expected %s", f.name, fmt.Sprint(f.value), f.expected)
		}
	}
	return nil
}

// isName reports whether a text can be the name of a target, a service or a zone.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && s == strings.TrimSpace(s) && utf8.ValidString(s) && httpguts.ValidHeaderFieldValue(s)
}
