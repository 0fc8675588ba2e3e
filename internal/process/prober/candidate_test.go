package prober

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
)

// The weights of two places.
var (
	himal      = Weights{Tail: 8, Cost: 3}
	steadyhand = Weights{Tail: 4, Cost: 8}
)

var reasons = map[string]Reason{"draining": Suspected, "ejected": Ejected, "cold": Cold, "idle": Idle, "known": Known}

// session replays events on one prober and its candidates.
type session struct {
	prober     *Prober
	candidates []Candidate
	claims     map[string]*Claim
}

func (s *session) replay(e replayer.Event) string {
	switch e.Verb {
	case "settings":
		rate := Rate{Fleet: 4, Window: 10 * time.Second, Timeout: time.Second}
		var w Weights
		if _, err := fmt.Sscanf(strings.Join(e.Args, " "), "probes=%d tail=%d cost=%d", &rate.Probes, &w.Tail, &w.Cost); err != nil {
			return err.Error()
		}
		if s.prober == nil {
			s.prober = New(rate, w, e.Now)
		}
		s.prober.Configure(rate, w)
	case "target":
		s.setTarget(e)
	case "next":
		c, wait := s.prober.Next(e.Now, s.candidates)
		if c == nil {
			return fmt.Sprintf("none, ask again in %s", wait)
		}
		name := fmt.Sprint(c.Target.Addr().As4()[3])
		s.claims[name] = c
		return "target " + name
	case "sent":
		return fmt.Sprint(s.prober.BeginSend(s.claims[e.Arg(0)], e.Now))
	case "done":
		s.prober.Done(s.claims[e.Arg(0)], e.Now)
	default:
		return "unknown verb"
	}
	return ""
}

// setTarget reads "NUMBER REASON [UNCHANGED]" and sets a candidate whose last report
// is now.
func (s *session) setTarget(e replayer.Event) {
	var last byte
	var unchanged int
	_, _ = fmt.Sscan(e.Arg(0), &last)
	_, _ = fmt.Sscan(e.Arg(2), &unchanged)
	c := Candidate{
		Target: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, last}), 80),
		Reason: reasons[e.Arg(1)], LastReport: e.Now, ReasonSince: e.Now, Unchanged: unchanged,
	}
	for i := range s.candidates {
		if s.candidates[i].Target == c.Target {
			if s.candidates[i].Reason == c.Reason {
				c.ReasonSince = s.candidates[i].ReasonSince
			}
			s.candidates[i] = c
			return
		}
	}
	s.candidates = append(s.candidates, c)
}

func TestSessions(t *testing.T) {
	replayer.Check(t, func() func(replayer.Event) string {
		s := &session{claims: make(map[string]*Claim)}
		return s.replay
	})
}

// probesDuringOutage returns the number of probes that one ejected target gets within
// ten minutes, and the time until the first one.
func probesDuringOutage(w Weights) (int, time.Duration) {
	now := replayer.Epoch
	// The process started an hour ago, so that the start delay is over.
	p := New(Rate{Probes: 64, Fleet: 32, Window: 10 * time.Second, Timeout: 500 * time.Millisecond}, w, now.Add(-time.Hour))
	c := Candidate{Target: someTarget, Reason: Ejected, LastReport: now, ReasonSince: now}
	var first time.Duration
	probes := 0
	for now.Sub(replayer.Epoch) < 10*time.Minute {
		claim, wait := p.Next(now, []Candidate{c})
		if claim == nil {
			now = now.Add(wait)
			continue
		}
		if probes == 0 {
			first = now.Sub(replayer.Epoch)
		}
		probes++
		p.BeginSend(claim, now)
		// The probe takes 6 ms.
		now = now.Add(6 * time.Millisecond)
		p.Done(claim, now)
		c.LastReport = now
		c.Unchanged++
	}
	return probes, first
}

// TestWeightsScaleProbing guards against weights without effect: more weight on tail
// latency and less on cost must at least double the probes of an ejected target and
// send the first one earlier.
func TestWeightsScaleProbing(t *testing.T) {
	himalProbes, himalFirst := probesDuringOutage(himal)
	steadyProbes, steadyFirst := probesDuringOutage(steadyhand)
	t.Logf("himal: %d probes, the first after %s; steadyhand: %d, after %s", himalProbes, himalFirst, steadyProbes, steadyFirst)
	if himalProbes < 2*steadyProbes || himalFirst >= steadyFirst {
		t.Error("want at least twice as many probes with the weights of himal as with those of steadyhand, and an earlier first one")
	}
}
