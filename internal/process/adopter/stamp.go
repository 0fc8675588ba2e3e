package adopter

import (
	"cmp"
	"fmt"
	"time"
)

// Stamp identifies a document and orders it among others of its type.
type Stamp struct {
	// Version is chosen by the operators. A document in force has a version above 0.
	Version uint64
	// Digest is computed from the text. It orders two different documents that operators
	// published under one version.
	Digest uint64
}

// Compare returns a negative number if s is older than other, and a positive one if it
// is newer.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Version, other.Version), cmp.Compare(s.Digest, other.Digest))
}

// String returns version and digest in the format of logs and status pages.
func (s Stamp) String() string { return fmt.Sprintf("%d@%016x", s.Version, s.Digest) }

// Verdict is the result of one offer.
type Verdict int

// The verdicts on an offer.
const (
	// Accepted means that the document is now in force.
	Accepted Verdict = iota
	// Known means that the document was already in force.
	Known
	// Stale means that a newer document is in force.
	Stale
	// Rejected means that the document has faults and the one in force stays.
	Rejected
	// Mismatch means that the document is not the one that the sender announced.
	Mismatch
	verdictCount
)

var verdictNames = [verdictCount]string{"accepted", "known", "stale", "rejected", "mismatch"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if v < 0 || v >= verdictCount {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return verdictNames[v]
}

// Rejection says why a document was not put in force.
type Rejection struct {
	// Stamp identifies the document. Its version is 0 if it could not be read.
	Stamp  Stamp
	Reason error
	// At is the time of the first offer.
	At time.Time
}

// Status is the state of an adopter for operators.
type Status struct {
	// Stamp is the stamp of the document in force, or zero if there is none.
	Stamp Stamp
	// Since is when the document came into force.
	Since time.Time
	// LastRejection is the latest rejection of a document that is not older than the
	// version in force or whose version could not be read, or nil if there is none. It
	// includes a valid document that lost to another of the same version.
	LastRejection *Rejection
	// Offers counts the offers by verdict.
	Offers [verdictCount]uint64
}
