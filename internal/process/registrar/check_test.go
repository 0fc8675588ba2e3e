package registrar

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against runs with fields at and beyond their bounds that are used as targets: those of
// an odd entry, and those in the list of an older build, which hands them on.
func TestDecodeLeavesOutOddRuns(t *testing.T) {
	change := func(f func(r *Run)) Run {
		r := run("a", 1, false)
		f(&r)
		return r
	}
	address := func(text string) Run {
		return change(func(r *Run) { r.Address = netip.MustParseAddrPort(text) })
	}
	name := func(text string) Run { return change(func(r *Run) { r.Name = text }) }
	for _, c := range []struct {
		run   Run
		valid bool
	}{
		{run("a", 0, true), true},
		{name(strings.Repeat("n", 200)), true},
		{name(strings.Repeat("n", 201)), false},
		{name(""), false},
		{name("a\r\nX: b"), false},
		{name(" a"), false},
		{change(func(r *Run) { r.Service = "a\x00" }), false},
		{change(func(r *Run) { r.Service = "" }), false},
		{change(func(r *Run) { r.Zone = "" }), true},
		{change(func(r *Run) { r.Zone = strings.Repeat("z", 201) }), false},
		{change(func(r *Run) { r.Slots = 1 << 20 }), true},
		{change(func(r *Run) { r.Slots = 1<<20 + 1 }), false},
		{change(func(r *Run) { r.Slots = math.MaxInt }), false},
		{change(func(r *Run) { r.Slots = 0 }), false},
		{change(func(r *Run) { r.WarmupLeft = 24 * time.Hour }), true},
		{change(func(r *Run) { r.WarmupLeft = 24*time.Hour + 1 }), false},
		{change(func(r *Run) { r.WarmupLeft = -1 }), false},
		{change(func(r *Run) { r.StartMs = 1 << 53 }), true},
		{change(func(r *Run) { r.StartMs = 1<<53 + 1 }), false},
		{change(func(r *Run) { r.StartMs = -1 }), false},
		{address("10.0.0.1:65535"), true},
		{address("10.0.0.1:0"), false},
		{address("0.0.0.0:80"), false},
		{address("[::1]:80"), false},
		{address("[::ffff:10.0.0.1]:80"), false},
		{address("224.0.0.1:80"), false},
		{address("255.255.255.255:80"), false},
		{change(func(r *Run) { r.Address = netip.AddrPort{} }), false},
	} {
		sound := run("b", 2, false)
		text, err := (&List{Revision: 1, Runs: []Run{c.run, sound}}).Encode()
		require.NoError(t, err)
		l, err := Decode(text)
		require.NoError(t, err)
		description := fmt.Sprintf("%.100q", fmt.Sprint(c.run))
		if c.valid {
			require.Equal(t, []Run{c.run, sound}, l.Runs, description)
			require.Zero(t, l.Dropped)
		} else {
			require.Equal(t, []Run{sound}, l.Runs, description)
			require.Equal(t, 1, l.Dropped)
		}
	}
}
