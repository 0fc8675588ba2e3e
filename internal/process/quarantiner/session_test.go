package quarantiner

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/narrator"
)

var lookup = Service{Place: "himal", Service: "lookup"}

var sessionLimits = Limits{
	Suspicion: time.Minute, Quarantine: 30 * time.Second, Longest: 100 * time.Second,
	Together: 2 * time.Second, Crowd: 3, Entries: 8, Runs: 4,
}

// request reads a name of one letter.
func request(name string) Fingerprint {
	return Sum(lookup.Place, lookup.Service, "find", "GET", "/find/"+name, nil)
}

// run reads "NUMBER.START".
func run(text string) Run {
	number, start, _ := strings.Cut(text, ".")
	last, _ := strconv.Atoi(number)
	return Run{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(last)}), 80), Start: start}
}

func replay(t *Table) func(narrator.Event) string {
	return func(e narrator.Event) string {
		switch e.Verb {
		case "enter":
			v, wait := t.Admit(lookup, request(e.Arg(0)), e.Now)
			if wait > 0 {
				return fmt.Sprintf("%s, back in %s", v, wait)
			}
			return v.String()
		case "leave":
			t.EndIsolation(lookup, request(e.Arg(0)))
			return ""
		case "lost":
			t.RecordLoss(lookup, request(e.Arg(0)), run(e.Arg(1)), e.Now)
		case "hear":
			age, _ := time.ParseDuration(e.Arg(2))
			t.Receive(Rumor{Service: lookup, Fingerprint: request(e.Arg(0)), Run: run(e.Arg(1)), Age: age}, e.Now)
		case "alive":
			sent, _ := time.ParseDuration(e.Arg(1))
			t.RecordResponse(run(e.Arg(0)), narrator.Epoch.Add(sent), e.Now)
		case "answered":
			t.RecordCompletion(lookup, request(e.Arg(0)), e.Now)
		case "cleared":
			age, _ := time.ParseDuration(e.Arg(1))
			t.Receive(Rumor{Service: lookup, Fingerprint: request(e.Arg(0)), Cleared: true, Age: age}, e.Now)
		case "suspect":
			return strconv.FormatBool(t.IsSuspect(request(e.Arg(0)), e.Now))
		default:
			return "unknown verb"
		}
		return fmt.Sprintf("%+v", t.Stats())
	}
}

func TestSessions(t *testing.T) {
	narrator.Check(t, func() func(narrator.Event) string { return replay(New(sessionLimits)) })
}
