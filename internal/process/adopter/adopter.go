package adopter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// MaxRejections is the number of rejected documents that are remembered, so that they
// are neither fetched nor checked again.
const MaxRejections = 16

// adopted is a document in force. It is never modified.
type adopted[T any] struct {
	stamp    Stamp
	since    time.Time
	text     []byte
	document *T
}

// Adopter holds the newest valid document of one type. Its methods may be called
// from any goroutine. Readers never wait for an offer.
type Adopter[T any] struct {
	// Check decodes a document and returns its version. It must be deterministic, keep
	// no reference to text, and reject a document of version 0.
	Check func(text []byte) (document *T, version uint64, err error)
	// OnChange, if set, is called for each document that comes into force, in their
	// order and one at a time. It may call Current, Stamp and Text only.
	OnChange func(document *T, stamp Stamp, now time.Time)
	// OnReject, if set, is called for the first offer of each rejected document, and for
	// a later one if the rejection is no longer remembered. The rules of OnChange apply
	// to it as well.
	OnReject func(rejection Rejection)

	current atomic.Pointer[adopted[T]]

	// mutex guards the fields below and serializes the changes of current.
	mutex sync.Mutex
	// rejections holds the latest rejected documents, at most MaxRejections, the oldest
	// first.
	rejections []Rejection
	// lastRejection is the latest rejection of a document that is not older than the
	// version in force or whose version could not be read. It includes a valid document
	// that lost to another of the same version. It is nil if there is none.
	lastRejection *Rejection
	offers        [verdictCount]uint64
}

// Current returns the document in force, or nil. The caller keeps the pointer for as
// long as it needs one consistent version.
func (a *Adopter[T]) Current() *T {
	if d := a.current.Load(); d != nil {
		return d.document
	}
	return nil
}

// Stamp returns the stamp of the document in force, or the zero stamp.
func (a *Adopter[T]) Stamp() Stamp {
	if d := a.current.Load(); d != nil {
		return d.stamp
	}
	return Stamp{}
}

// Text returns the text of the document in force and its stamp, to send them to
// peers. The caller must not modify the text.
func (a *Adopter[T]) Text() ([]byte, Stamp) {
	if d := a.current.Load(); d != nil {
		return d.text, d.stamp
	}
	return nil, Stamp{}
}

// Wants reports whether a document that a peer announced should be fetched.
func (a *Adopter[T]) Wants(announced Stamp) bool {
	if announced.Compare(a.Stamp()) <= 0 {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.findRejection(announced.Digest) == nil
}

// Offer checks a document and puts it in force if it is valid and newer than the one in
// force. Version and digest are those that the sender announced, or zero if it
// announced none.
func (a *Adopter[T]) Offer(text []byte, version, digest uint64, now time.Time) Verdict {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	v := a.evaluate(text, Stamp{Version: version, Digest: digest}, now)
	a.offers[v]++
	return v
}

func (a *Adopter[T]) evaluate(text []byte, announced Stamp, now time.Time) Verdict {
	digest := xxhash.Sum64(text)
	if announced.Digest != 0 && announced.Digest != digest {
		return Mismatch
	}
	inForce := a.Stamp()
	if inForce.Version != 0 && inForce.Digest == digest {
		return Known
	}
	if announced.Digest != 0 && announced.Version < inForce.Version {
		return Stale
	}
	if r := a.findRejection(digest); r != nil {
		return Rejected
	}
	document, version, err := a.Check(text)
	stamp := Stamp{Version: version, Digest: digest}
	if err != nil {
		a.reject(Rejection{Stamp: stamp, Reason: err, At: now})
		return Rejected
	}
	if announced.Version != 0 && announced.Version != version {
		return Mismatch
	}
	if stamp.Compare(inForce) <= 0 {
		a.recordTie(stamp, inForce, now)
		return Stale
	}
	a.adopt(&adopted[T]{stamp: stamp, since: now, text: append([]byte(nil), text...), document: document})
	return Accepted
}

func (a *Adopter[T]) adopt(d *adopted[T]) {
	before := a.Stamp()
	a.current.Store(d)
	if a.lastRejection != nil && a.lastRejection.Stamp.Version <= d.stamp.Version {
		a.lastRejection = nil
	}
	a.recordTie(before, d.stamp, d.since)
	if a.OnChange != nil {
		a.OnChange(d.document, d.stamp, d.since)
	}
}

func (a *Adopter[T]) reject(r Rejection) {
	if len(a.rejections) == MaxRejections {
		a.rejections = append(a.rejections[:0], a.rejections[1:]...)
	}
	a.rejections = append(a.rejections, r)
	if inForce := a.Stamp(); r.Stamp.Version == 0 || r.Stamp.Version >= inForce.Version {
		a.lastRejection = &r
	}
	if a.OnReject != nil {
		a.OnReject(r)
	}
}

// recordTie records loser as the last rejection if both documents were published under
// the same version. The rejection tells the operator of loser why it is not in force.
func (a *Adopter[T]) recordTie(loser, winner Stamp, now time.Time) {
	if loser.Version == winner.Version {
		reason := trace.AlreadyExists("%s was published under the same version and takes precedence; publish again under a higher one", winner)
		a.lastRejection = &Rejection{Stamp: loser, Reason: reason, At: now}
	}
}

// findRejection returns the remembered rejection of the document with the given
// digest, or nil.
func (a *Adopter[T]) findRejection(digest uint64) *Rejection {
	for i := range a.rejections {
		if a.rejections[i].Stamp.Digest == digest {
			return &a.rejections[i]
		}
	}
	return nil
}

// Status returns the stamp of the document in force, the last rejection and the
// counts of offers.
func (a *Adopter[T]) Status() Status {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := Status{LastRejection: a.lastRejection, Offers: a.offers}
	if d := a.current.Load(); d != nil {
		s.Stamp, s.Since = d.stamp, d.since
	}
	return s
}
