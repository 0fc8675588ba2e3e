package quarantiner

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
)

var lookupService = Service{Place: "himal", Service: "lookup"}

var sessionLimits = Limits{
	SuspicionTimeout: time.Minute, FirstQuarantine: 30 * time.Second, MaxQuarantine: 100 * time.Second,
	CoincidenceWindow: 2 * time.Second, MassLossRuns: 3, MaxEntries: 8, MaxRuns: 4,
}

// fingerprintOf returns the fingerprint of a request with the given name.
func fingerprintOf(name string) Fingerprint {
	return Sum(lookupService.Place, lookupService.Service, "find", "GET", "/find/"+name, nil)
}

// parseRun reads "NUMBER.START".
func parseRun(text string) Run {
	number, start, _ := strings.Cut(text, ".")
	last, _ := strconv.Atoi(number)
	return Run{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(last)}), 80), Start: start}
}

// replay returns a function that applies one event to the table and returns the
// statistics of the table, except where another result is given. RUN is NUMBER.START.
// The events are:
//
//	admit REQUEST
//		A request asks to run. The result is the verdict and the time until a retry.
//	end REQUEST
//		A suspect no longer runs isolated. There is no result.
//	lost REQUEST RUN
//		The connection of a request to a run breaks.
//	receive REQUEST RUN AGE
//		A peer sends the rumor of a loss.
//	alive RUN SENT
//		A run responds to a request that was sent at SENT, the time since the epoch.
//	answered REQUEST
//		A request gets its complete response.
//	cleared REQUEST AGE
//		A peer sends the rumor that a request got its complete response.
//	suspect REQUEST
//		Nothing happens. The result says whether the request is a suspect.
func replay(t *Table) func(replayer.Event) string {
	return func(e replayer.Event) string {
		switch e.Verb {
		case "admit":
			v, wait := t.Admit(lookupService, fingerprintOf(e.Arg(0)), e.Now)
			if wait > 0 {
				return fmt.Sprintf("%s, retry after %s", v, wait)
			}
			return v.String()
		case "end":
			t.EndIsolation(lookupService, fingerprintOf(e.Arg(0)))
			return ""
		case "lost":
			t.RecordLoss(lookupService, fingerprintOf(e.Arg(0)), parseRun(e.Arg(1)), e.Now)
		case "receive":
			age, _ := time.ParseDuration(e.Arg(2))
			t.Receive(Rumor{Service: lookupService, Fingerprint: fingerprintOf(e.Arg(0)), Run: parseRun(e.Arg(1)), Age: age}, e.Now)
		case "alive":
			sent, _ := time.ParseDuration(e.Arg(1))
			t.RecordResponse(parseRun(e.Arg(0)), replayer.Epoch.Add(sent), e.Now)
		case "answered":
			t.RecordCompletion(lookupService, fingerprintOf(e.Arg(0)), e.Now)
		case "cleared":
			age, _ := time.ParseDuration(e.Arg(1))
			t.Receive(Rumor{Service: lookupService, Fingerprint: fingerprintOf(e.Arg(0)), Cleared: true, Age: age}, e.Now)
		case "suspect":
			return strconv.FormatBool(t.IsSuspect(fingerprintOf(e.Arg(0)), e.Now))
		default:
			return "unknown verb"
		}
		return fmt.Sprintf("%+v", t.Stats())
	}
}

func TestSessions(t *testing.T) {
	replayer.Check(t, func() func(replayer.Event) string { return replay(New(sessionLimits)) })
}
