package relayer

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// Operation is a request that is forwarded to the instance that must execute it.
type Operation struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Incarnation is the incarnation that must execute the operation. All others
	// refuse it.
	Incarnation uint64
	Method      string
	// Path is the path with the query, as the caller sent them.
	Path   string
	Header http.Header
	Body   []byte
	// Route is the encoded route by which the sender handles a request that it relays; empty
	// for an operation.
	Route []byte
	// Timeout is the time from sending the operation until its deadline. 0 means no
	// deadline.
	Timeout time.Duration
}

// Outcome is the executor's response to a forwarded operation.
type Outcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	Status int
	Header http.Header
	Body   []byte
}

// Failure says whether an operation may have been executed although Forward failed.
type Failure uint8

// The failures of a forwarded operation.
const (
	// Unsent means that the operation was not sent.
	Unsent Failure = iota
	// Replaced means that nothing will execute the operation. Either the named
	// incarnation announced its end, or another incarnation responds at its address,
	// or the peer has no Options.Execute.
	Replaced
	// Unanswered means that the operation was sent and may have been executed.
	Unanswered
)

// String returns the name of the failure.
func (f Failure) String() string {
	return [...]string{"unsent", "replaced", "unanswered"}[f]
}

// ForwardError is the error of Forward.
type ForwardError struct {
	Peer    netip.AddrPort
	Failure Failure
	// Cause is the underlying error. It is nil for Replaced.
	Cause error
}

// Error implements error.
func (e *ForwardError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("forwarding an operation to peer %s: %s", e.Peer, e.Failure)
	}
	return fmt.Sprintf("forwarding an operation to peer %s: %s: %v", e.Peer, e.Failure, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ForwardError) Unwrap() error { return e.Cause }
