package quarantiner

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is the digest of a request's content. The id of an operation is
// not part of it: a caller that sends the same request under a new id sends the
// same crash.
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

// Service names a service at a place.
type Service struct{ Place, Service string }

// Run names one run of a target's process.
type Run struct {
	Address netip.AddrPort
	// Start is the id that the target gave, or the list; empty when neither did.
	Start string
}

// Rumor tells peers of a loss, or that a suspect was answered whole.
type Rumor struct {
	Service     Service
	Fingerprint Fingerprint
	// Run is the lost run; it is empty when Cleared is set.
	Run Run
	// Cleared means that the request was answered whole.
	Cleared bool
	// Age is the time since the loss or the answer.
	Age time.Duration
}

// Verdict tells how a request may run.
type Verdict int

// The verdicts on a request.
const (
	// Free requests run like any other.
	Free Verdict = iota + 1
	// Isolated grants a suspect its service's only turn: it must run alone at a
	// target, and Leave must follow.
	Isolated
	// Busy means that another suspect of the service is running apart. The request
	// is not run; it may come back.
	Busy
	// Quarantined requests get a final answer at once.
	Quarantined
)

var verdictNames = map[Verdict]string{Free: "free", Isolated: "apart", Busy: "busy", Quarantined: "quarantined"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Limits bounds the table and its times.
type Limits struct {
	// Suspicion is how long a loss speaks against a request.
	Suspicion time.Duration
	// Quarantine is the length of the first quarantine; each further one doubles
	// up to Longest.
	Quarantine, Longest time.Duration
	// Together is the time within which losses count as one moment.
	Together time.Duration
	// Crowd is the number of runs lost without a request at the moments of its
	// own losses from which its conviction takes one loss more.
	Crowd int
	// Entries bounds the number of suspected and convicted requests.
	Entries int
	// Runs bounds the number of lost runs that are remembered for one request.
	Runs int
}

// DefaultLimits are the limits of an instance.
var DefaultLimits = Limits{
	Suspicion:  time.Minute,
	Quarantine: 30 * time.Second,
	Longest:    10 * time.Minute,
	Together:   2 * time.Second,
	Crowd:      3,
	Entries:    4096,
	Runs:       8,
}
