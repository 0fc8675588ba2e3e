package tracker

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

func address(number string) netip.AddrPort {
	last, _ := strconv.Atoi(number)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(last)}), 80)
}

func key(number string) Key {
	return Key{Place: "himal", Service: "lookup", Address: address(number)}
}

// parseList reads "REVISION [NUMBER[.START[.leaving]]]...". START may be empty.
func parseList(args []string) *lister.List {
	revision, _ := strconv.ParseUint(args[0], 10, 64)
	l := &lister.List{Revision: revision}
	for _, text := range args[1:] {
		fields := append(strings.Split(text, "."), "", "")
		target := lister.Target{Address: address(fields[0]), Place: "himal", Service: "lookup", State: lister.Live, Start: fields[1]}
		if fields[2] == "leaving" {
			target.State = lister.Leaving
		}
		l.Targets = append(l.Targets, target)
	}
	return l
}

// replay returns a function that applies one event to the tracker and returns the
// usable targets and the rumors for the peers. The events are:
//
//	list REVISION [NUMBER[.START[.leaving]]]...
//		The platform publishes a revision of the list.
//	answer NUMBER.START STATE [AGE]
//		A target responds to a request that was sent AGE ago.
//	receive NUMBER.START AGE
//		A peer sends the rumor that a run is leaving.
//	usable
//		Nothing happens.
func replay(t *Tracker) func(replayer.Event) string {
	return func(e replayer.Event) string {
		var rumors []Rumor
		switch e.Verb {
		case "list":
			rumors = t.ApplyList(parseList(e.Args), e.Now)
		case "answer":
			number, start, _ := strings.Cut(e.Arg(0), ".")
			age, _ := time.ParseDuration(e.Arg(2))
			rumors = t.Observe(Observation{Key: key(number), Start: start, State: ParseState(e.Arg(1)), Sent: e.Now.Add(-age)}, e.Now)
		case "receive":
			number, start, _ := strings.Cut(e.Arg(0), ".")
			age, _ := time.ParseDuration(e.Arg(1))
			return fmt.Sprintf("new %t; ", t.Receive(Rumor{Key: key(number), Start: start, Age: age}, e.Now)) + usable(t, e.Now)
		case "usable":
		default:
			return "unknown verb"
		}
		text := usable(t, e.Now)
		for _, r := range rumors {
			text += fmt.Sprintf("; rumor: %d.%s is leaving", r.Key.Address.Addr().As4()[3], r.Start)
		}
		return text
	}
}

func usable(t *Tracker, now time.Time) string {
	var names []string
	for _, target := range t.Usable("himal", "lookup", now) {
		name := fmt.Sprintf("%d.%s", target.Address.Addr().As4()[3], target.Start)
		if target.State == Warming {
			name += " warming"
		}
		if !target.Since.IsZero() {
			name += " since " + target.Since.Sub(replayer.Epoch).String()
		}
		names = append(names, name)
	}
	return "usable [" + strings.Join(names, ", ") + "]"
}

func TestSessions(t *testing.T) {
	replayer.Check(t, func() func(replayer.Event) string { return replay(New()) })
}
