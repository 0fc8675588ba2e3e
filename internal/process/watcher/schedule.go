package watcher

import (
	"net/netip"
	"time"
)

// Timing and limits of the calls.
const (
	// LongPollWait is how long the platform holds a watch when nothing changes.
	LongPollWait = 10 * time.Second
	// fallbackInterval times the number of live instances is the time between two
	// fallback reads of one instance. The rate of these reads over the whole fleet is
	// thus constant.
	fallbackInterval = time.Second
	// firstReadSpread times the number of live instances bounds the random delay of the
	// first read, so that instances that start together do not call together.
	firstReadSpread = 10 * time.Millisecond
	// peerTimeout is the time without contact with any peer after which an instance no
	// longer relies on the elected readers and acts as a reader itself.
	peerTimeout = 10 * time.Second
	// substitutionPeriod is how long an instance acts as a reader after its fallback
	// read found a newer document. That the readers have not passed this document on
	// suggests that they cannot reach the platform.
	substitutionPeriod = time.Minute
	// minBackoff and maxBackoff bound the delay after failed calls before jitter, which
	// changes it by up to half.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
	// minHold is the duration below which an unchanged response to a watch counts as a
	// failure, because the platform did not hold the call.
	minHold = LongPollWait / 2
	// burst is the size of the token bucket that bounds the calls of one instance for
	// one document, however the platform responds. The bucket gains one token per
	// refillInterval.
	burst          = 5
	refillInterval = time.Second
	// rereadEvery makes one in that many calls ask for the version in force again, to
	// find another document with the same version.
	rereadEvery = 8
)

// Call is a kind of call to the platform.
type Call int

// The kinds of calls.
const (
	// None makes no call now.
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

// The results of calls.
const (
	// Applied means that the document of the response came into force.
	Applied Result = iota
	// Unchanged means that there is nothing newer than the document in force.
	Unchanged
	// Superseded means that peers passed on the same document or a newer one during the
	// call.
	Superseded
	// Stale means that the document is older than the one in force.
	Stale
	// Rejected means that the document has faults.
	Rejected
	// Failed means that there was no usable response.
	Failed
	resultCount
)

// View is the state on which a decision is based.
type View struct {
	// Members are the instances considered live.
	Members []netip.AddrPort
	// MembersReachingPlatform are the members that have not reported the platform as
	// unreachable; nil if members do not report this.
	MembersReachingPlatform []netip.AddrPort
	// LastContact is when a message from any peer last arrived; zero if this is unknown.
	LastContact time.Time
	// HasDocument says that a document is in force.
	HasDocument bool
}

// Decision is a call to make now, or the time of the next decision.
type Decision struct {
	Call Call
	// DecideAt is when to decide again. It is zero if Call is not None or a call is in
	// flight.
	DecideAt time.Time
}

// Schedule decides when one instance calls the platform for one document. It does no
// input or output and is not safe for concurrent use.
type Schedule struct {
	Self netip.AddrPort
	Kind Kind
	// Random returns a number in [0, 1) for jitter.
	Random func() float64

	// inFlight is the call in flight, or None.
	inFlight Call
	started  time.Time
	// nextCall is when the next call is due; zero before the first decision.
	nextCall time.Time
	// wasReader says that the instance was a reader at the last decision.
	wasReader bool
	// substituteUntil is the time up to which the instance acts as a reader without
	// being elected.
	substituteUntil time.Time
	// failures is the number of consecutive calls that failed, were not held, or returned
	// a stale or rejected document (see Finish). The backoff grows with it.
	failures int
	// platformUnreachable says that the last call got no usable response.
	platformUnreachable bool
	// tokens is the number of tokens in the bucket as of refilledAt.
	tokens     int
	refilledAt time.Time
	// calls counts all calls.
	calls int
	// hadDocument is View.HasDocument at the start of the last call.
	hadDocument bool
}

// Decide returns the call to make now. The caller passes its result to Finish.
func (s *Schedule) Decide(now time.Time, view View) Decision {
	if s.inFlight != None {
		return Decision{}
	}
	s.refillTokens(now)
	reader := s.isReader(now, view)
	if s.nextCall.IsZero() {
		s.nextCall = now.Add(time.Duration(s.Random() * float64(firstReadSpread) * float64(len(view.Members)-1)))
	} else if reader && !s.wasReader && s.failures == 0 {
		s.nextCall = now
	}
	s.wasReader = reader
	if now.Before(s.nextCall) {
		return Decision{DecideAt: s.nextCall}
	}
	if s.tokens == 0 {
		return Decision{DecideAt: s.refilledAt.Add(refillInterval)}
	}
	s.tokens--
	s.started, s.hadDocument = now, view.HasDocument
	s.inFlight = s.chooseCall(reader, view)
	return Decision{Call: s.inFlight}
}

func (s *Schedule) chooseCall(reader bool, view View) Call {
	s.calls++
	switch {
	case !view.HasDocument:
		return Read
	case s.calls%rereadEvery == 0:
		return Reread
	case reader:
		return Watch
	}
	return Read
}

// isReader reports whether the instance acts as a reader.
func (s *Schedule) isReader(now time.Time, view View) bool {
	if now.Before(s.substituteUntil) {
		return true
	}
	if !view.LastContact.IsZero() && now.Sub(view.LastContact) > peerTimeout {
		return true
	}
	if Elected(s.Self, view.Members, s.Kind) {
		return true
	}
	return view.MembersReachingPlatform != nil && !s.platformUnreachable && Elected(s.Self, view.MembersReachingPlatform, s.Kind)
}

// PlatformUnreachable reports whether the last call got no usable response. Members to
// which this is reported elect another reader in addition.
func (s *Schedule) PlatformUnreachable() bool { return s.platformUnreachable }

// Finish records the result of the call in flight. View is the state after the call.
func (s *Schedule) Finish(now time.Time, view View, r Result) {
	call := s.inFlight
	s.inFlight = None
	s.platformUnreachable = r == Failed
	switch r {
	case Applied:
		s.failures = 0
		if !s.wasReader && s.hadDocument {
			s.substituteUntil = now.Add(substitutionPeriod)
		}
	case Superseded:
		s.failures = 0
	case Unchanged:
		if !view.HasDocument || (call == Watch && now.Sub(s.started) < minHold) {
			s.failures++
		} else {
			s.failures = 0
		}
	default:
		s.failures++
	}
	s.nextCall = s.nextCallTime(now, view)
}

// nextCallTime returns the time of the call after one that ended now. A fallback read
// needs no backoff, since its interval is already several seconds. With few members this
// interval stays at ReaderCount times fallbackInterval.
func (s *Schedule) nextCallTime(now time.Time, view View) time.Time {
	reader := s.isReader(now, view)
	if s.failures > 0 && (reader || !view.HasDocument) {
		return now.Add(s.backoff())
	}
	if reader {
		return now
	}
	return now.Add(s.jitter(fallbackInterval * time.Duration(max(len(view.Members), ReaderCount))))
}

func (s *Schedule) backoff() time.Duration {
	delay := minBackoff
	for i := 1; i < s.failures && delay < maxBackoff; i++ {
		delay *= 2
	}
	return s.jitter(min(delay, maxBackoff))
}

// jitter returns a random duration between half and one and a half times delay,
// uniformly distributed.
func (s *Schedule) jitter(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(s.Random()*float64(delay))
}

// refillTokens adds the tokens that are due. However long the process was paused, the
// bucket holds at most burst tokens.
func (s *Schedule) refillTokens(now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens, s.refilledAt = burst, now
		return
	}
	if n := int(now.Sub(s.refilledAt) / refillInterval); n > 0 {
		s.tokens = min(burst, s.tokens+n)
		s.refilledAt = s.refilledAt.Add(time.Duration(n) * refillInterval)
	}
}
