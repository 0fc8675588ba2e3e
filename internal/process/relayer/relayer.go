package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// Kind names a document that instances hand to each other.
type Kind uint8

// The documents.
const (
	Settings Kind = iota
	List
	kindCount
)

// String returns the name of the document.
func (k Kind) String() string {
	return [...]string{"settings", "list"}[k]
}

// Options holds what a relayer is built from.
type Options struct {
	// Self is the instance as the list would publish it.
	Self lister.Instance
	// Incarnation is drawn at random at each start.
	Incarnation uint64
	// Listen is the address to accept peers on; Self.Peer when not valid.
	Listen netip.AddrPort
	// Seeds are addresses of peers to try, besides those of the list.
	Seeds []netip.AddrPort
	// Keys returns the present key set.
	Keys func() framer.Keys
	// Period is the time between pings; 0 is DefaultPeriod.
	Period time.Duration

	// Documents returns the version, digest and text of the document in force.
	Documents func(kind Kind) (version, digest uint64, text []byte)
	// Offer hands over a document that a peer holds; it reports whether it is
	// now in force.
	Offer func(kind Kind, text []byte, now time.Time) bool
	// Rumor is called once for each rumor that other instances spread.
	Rumor func(r Rumor, now time.Time)
	// Execute runs an operation that was forwarded to this incarnation.
	Execute func(ctx context.Context, o Operation) Outcome
	// Members is called with the whole membership after each change; it must not block.
	Members func(members []detector.Member, changes []detector.Change)
	// Allow reports whether this instance may talk with an address; nil allows all.
	Allow func(address netip.AddrPort) bool

	Logger log.Logger
	Scope  tally.Scope
}
