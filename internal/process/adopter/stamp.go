package adopter

import (
	"cmp"
	"fmt"
	"time"
)

// Stamp identifies a document and orders it among others of its kind.
type Stamp struct {
	// Version is chosen by the operators; a document in force has one above 0.
	Version uint64
	// Digest is computed from the text. It breaks the tie between two different
	// documents that operators published under one version.
	Digest uint64
}

// Compare is negative when s is older than other and positive when it is newer.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Version, other.Version), cmp.Compare(s.Digest, other.Digest))
}

// String gives version and digest as logs and status pages show them.
func (s Stamp) String() string { return fmt.Sprintf("%d@%016x", s.Version, s.Digest) }

// Verdict is the result of one offer.
type Verdict int

// The verdicts.
const (
	// Accepted: the document is in force now.
	Accepted Verdict = iota
	// Known: the document is in force already.
	Known
	// Stale: a newer document is in force.
	Stale
	// Rejected: the document has faults; the one in force stays.
	Rejected
	// Mismatch: the text is not the document that the sender announced.
	Mismatch
	verdicts
)

var verdictNames = [verdicts]string{"accepted", "known", "stale", "rejected", "mismatch"}

// String names the verdict.
func (v Verdict) String() string {
	if v < 0 || v >= verdicts {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return verdictNames[v]
}

// Rejection tells why a document was not taken.
type Rejection struct {
	// Stamp has version 0 when the version could not be read.
	Stamp  Stamp
	Reason error
	// At is the time of the first offer.
	At time.Time
}

// Status is what an operator sees of an adopter.
type Status struct {
	// Stamp is zero while no document is in force.
	Stamp Stamp
	// Since is when the document came into force.
	Since time.Time
	// LastRejection is the latest rejection of a document that is not older than the
	// version in force; nil when there is none. It covers the loser of two valid
	// documents of one version.
	LastRejection *Rejection
	// Offers counts the offers by verdict.
	Offers [verdicts]uint64
}
