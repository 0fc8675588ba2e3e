package watcher

import (
	"net/netip"
	"time"
)

// Timing of the calls.
const (
	// Wait is how long the platform holds a waiting watch without news.
	Wait = 10 * time.Second
	// pace times the number of live instances is the time between two fallback
	// reads of one instance; their rate over the fleet is thus constant.
	pace = time.Second
	// spread times the number of live instances bounds the delay of the first
	// read, so that a fleet that starts at once does not call at once.
	spread = 10 * time.Millisecond
	// silence is the time without a sign of any peer after which an instance
	// no longer counts on readers elsewhere.
	silence = 10 * time.Second
	// substitution is how long an instance watches after a fallback read found
	// news, which means that the readers may not reach the platform.
	substitution = time.Minute
	// backoffLeast and backoffMost bound the delay after failed calls.
	backoffLeast = 500 * time.Millisecond
	backoffMost  = 5 * time.Second
	// hasty is the time below which an answer without news counts as a failure
	// of the platform to hold the watch.
	hasty = Wait / 2
	// burst and refill bound the calls of one instance for one document,
	// whatever the platform answers.
	burst  = 5
	refill = time.Second
	// recheck is the number of calls of which one asks for the version in force
	// again, to find another document of that version.
	recheck = 8
)

// Call is what an instance asks the platform for.
type Call int

// The calls.
const (
	// None: no call now.
	None Call = iota
	// Watch waits for a newer document.
	Watch
	// Read asks for a newer document without waiting.
	Read
	// Reread asks for the document in force or a newer one without waiting.
	Reread
)

// Result is how a call ended.
type Result int

// The results.
const (
	// News: the answer came into force.
	News Result = iota
	// Same: nothing newer than the document in force.
	Same
	// Passed: a document that peers passed on, or surpassed, during the call.
	Passed
	// Old: a document older than the one in force.
	Old
	// Refused: a document with faults.
	Refused
	// Failed: no answer, or none of use.
	Failed
	results
)

// View is what an instance knows when it decides.
type View struct {
	// Members are the instances believed to be live.
	Members []netip.AddrPort
	// Able are the members that have not told that they lost the platform; nil
	// when members do not tell.
	Able []netip.AddrPort
	// Heard is when any peer last gave a sign; zero when that is not known.
	Heard time.Time
	// Holding says that a document is in force.
	Holding bool
}

// Decision is a call to make now, or none and when to decide again.
type Decision struct {
	Call Call
	// Again is zero when Call is not None or a call is running.
	Again time.Time
}

// Schedule decides when one instance calls the platform for one document. It
// has no input or output of its own and is not safe for concurrent use.
type Schedule struct {
	Self netip.AddrPort
	Kind Kind
	// Random returns numbers from 0 up to 1 for jitter.
	Random func() float64

	// running is the call in flight, at most one at a time.
	running Call
	started time.Time
	// next is when the next call is due; zero before the first decision.
	next time.Time
	// watching says that the last decision was taken as a reader.
	watching bool
	// substitute is until when the instance watches without being elected.
	substitute time.Time
	// failures counts consecutive calls of no use; lost says that the last one
	// failed.
	failures int
	lost     bool
	// tokens, counted up to filled, bound the calls; at most burst.
	tokens int
	filled time.Time
	// calls counts all calls; holding is View.Holding at the start of the last.
	calls   int
	holding bool
}

// Decide gives the call to make now. The caller reports its end to Finish.
func (s *Schedule) Decide(now time.Time, view View) Decision {
	if s.running != None {
		return Decision{}
	}
	s.fill(now)
	watching := s.reader(now, view)
	if s.next.IsZero() {
		s.next = now.Add(time.Duration(s.Random() * float64(spread) * float64(len(view.Members)-1)))
	} else if watching && !s.watching && s.failures == 0 {
		s.next = now
	}
	s.watching = watching
	if now.Before(s.next) {
		return Decision{Again: s.next}
	}
	if s.tokens == 0 {
		return Decision{Again: s.filled.Add(refill)}
	}
	s.tokens--
	s.started, s.holding = now, view.Holding
	s.running = s.call(watching, view)
	return Decision{Call: s.running}
}

func (s *Schedule) call(watching bool, view View) Call {
	s.calls++
	switch {
	case !view.Holding:
		return Read
	case s.calls%recheck == 0:
		return Reread
	case watching:
		return Watch
	}
	return Read
}

// reader reports whether the instance keeps a waiting watch.
func (s *Schedule) reader(now time.Time, view View) bool {
	if now.Before(s.substitute) {
		return true
	}
	if !view.Heard.IsZero() && now.Sub(view.Heard) > silence {
		return true
	}
	if Elected(s.Self, view.Members, s.Kind) {
		return true
	}
	return view.Able != nil && !s.lost && Elected(s.Self, view.Able, s.Kind)
}

// Lost reports whether the last call failed. Members that are told of it elect
// another reader in addition.
func (s *Schedule) Lost() bool { return s.lost }

// Finish takes the result of the running call and the view after it.
func (s *Schedule) Finish(now time.Time, view View, r Result) {
	call := s.running
	s.running = None
	s.lost = r == Failed
	switch r {
	case News:
		s.failures = 0
		if !s.watching && s.holding {
			s.substitute = now.Add(substitution)
		}
	case Passed:
		s.failures = 0
	case Same:
		if !view.Holding || (call == Watch && now.Sub(s.started) < hasty) {
			s.failures++
		} else {
			s.failures = 0
		}
	default:
		s.failures++
	}
	s.next = s.due(now, view)
}

// due is the time of the call after one that ended now.
func (s *Schedule) due(now time.Time, view View) time.Time {
	watching := s.reader(now, view)
	if s.failures > 0 && (watching || !view.Holding) {
		return now.Add(s.backoff())
	}
	if watching {
		return now
	}
	return now.Add(s.jitter(pace * time.Duration(max(len(view.Members), Readers))))
}

func (s *Schedule) backoff() time.Duration {
	delay := backoffLeast
	for i := 1; i < s.failures && delay < backoffMost; i++ {
		delay *= 2
	}
	return s.jitter(min(delay, backoffMost))
}

// jitter spreads a delay evenly over half of it to one and a half times it.
func (s *Schedule) jitter(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(s.Random()*float64(delay))
}

// fill adds the tokens that are due. Time that the process spent paused adds
// no more than a full bucket.
func (s *Schedule) fill(now time.Time) {
	if s.filled.IsZero() {
		s.tokens, s.filled = burst, now
		return
	}
	if n := int(now.Sub(s.filled) / refill); n > 0 {
		s.tokens = min(burst, s.tokens+n)
		s.filled = s.filled.Add(time.Duration(n) * refill)
	}
}
