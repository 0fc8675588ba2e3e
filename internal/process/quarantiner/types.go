package quarantiner

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is the digest of a request's content. It does not cover the id of
// the operation, because a caller that sends the same request under a new id causes
// the same crash.
type Fingerprint uint64

// Sum returns the fingerprint of a request. The path includes the query.
func Sum(place, service, kind, method, path string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{place, service, kind, method, path} {
		// Writing to a digest never fails.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Service identifies a service of a place.
type Service struct{ Place, Service string }

// Run identifies one execution of a target's process.
type Run struct {
	Address netip.AddrPort
	// Start is the id of the run that the target or the list reported. It is empty
	// when neither reported one.
	Start string
}

// Rumor reports to peers that a request was lost with a run, or that a suspect got
// its complete response.
type Rumor struct {
	Service     Service
	Fingerprint Fingerprint
	// Run is the lost run. It is empty when Cleared is set.
	Run Run
	// Cleared means that the request got its complete response.
	Cleared bool
	// Age is the time since the loss or the response.
	Age time.Duration
}

// Verdict says how a request may run.
type Verdict int

// The verdicts on a request.
const (
	// Free requests run without restriction.
	Free Verdict = iota + 1
	// Isolated requests are suspects that must run alone at a target. EndIsolation
	// must follow. Only one request of a service is isolated at a time.
	Isolated
	// Busy means that another suspect of the service runs isolated. The request must
	// not run now and may be retried.
	Busy
	// Quarantined requests must not run. They are answered at once with a response that
	// tells the caller not to retry.
	Quarantined
)

var verdictNames = map[Verdict]string{Free: "free", Isolated: "apart", Busy: "busy", Quarantined: "quarantined"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Limits bounds the size of a table and sets its durations.
type Limits struct {
	// SuspicionTimeout is how long a loss counts against a request.
	SuspicionTimeout time.Duration
	// FirstQuarantine is the length of the first quarantine. Each further quarantine
	// of a request is twice as long, up to MaxQuarantine.
	FirstQuarantine, MaxQuarantine time.Duration
	// CoincidenceWindow is the greatest time between two losses that count as
	// simultaneous.
	CoincidenceWindow time.Duration
	// MassLossRuns is the number of runs lost only with other requests, at the time
	// of a request's own losses, from which the quarantine of the request requires one
	// more lost run.
	MassLossRuns int
	// MaxEntries bounds the number of suspects and quarantined requests.
	MaxEntries int
	// MaxRuns bounds the number of lost runs that are kept for one request.
	MaxRuns int
}

// DefaultLimits are the limits that instances use.
var DefaultLimits = Limits{
	SuspicionTimeout:  time.Minute,
	FirstQuarantine:   30 * time.Second,
	MaxQuarantine:     10 * time.Minute,
	CoincidenceWindow: 2 * time.Second,
	MassLossRuns:      3,
	MaxEntries:        4096,
	MaxRuns:           8,
}
