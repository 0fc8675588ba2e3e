package relayer

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// Operation is a request forwarded to the instance that has to execute it.
type Operation struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Incarnation is the incarnation that has to execute the operation; any other
	// refuses it.
	Incarnation uint64
	Method      string
	// Path is the path and query as the caller sent them.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the time left until the deadline when the operation is sent; 0 is
	// no deadline.
	Timeout time.Duration
}

// Outcome is the executor's answer to a forwarded operation.
type Outcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	Status int
	Header http.Header
	Body   []byte
}

// Failure tells what a failed Forward means for the operation.
type Failure uint8

// The failures of a forwarded operation.
const (
	// Unsent operations did not leave this instance.
	Unsent Failure = iota
	// Replaced operations named an incarnation that has ended: another one
	// answers at its address. Nothing will execute the operation.
	Replaced
	// Unanswered operations may or may not have been executed.
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
	// Cause is the underlying error; nil when the peer itself refused.
	Cause error
}

// Error implements error.
func (e *ForwardError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("forwarding to %s: %s", e.Peer, e.Failure)
	}
	return fmt.Sprintf("forwarding to %s: %s: %v", e.Peer, e.Failure, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ForwardError) Unwrap() error { return e.Cause }
