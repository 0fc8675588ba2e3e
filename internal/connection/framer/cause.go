package framer

import "fmt"

// Cause is the reason for refusing a connection or a frame.
type Cause int

// The causes of a refusal.
const (
	Truncated Cause = iota
	Oversized
	Garbage
	UnknownKey
	UnsignedHello
	Unconfirmed
	Forged
	Reflected
	Replayed
	Reordered
	Undecodable
	causeCount
)

// causeInfos holds the metric name and the error text of each cause.
var causeInfos = [causeCount]struct{ name, text string }{
	Truncated:     {"truncated", "the connection ended within a frame"},
	Oversized:     {"oversized", "the frame is longer than allowed"},
	Garbage:       {"garbage", "the bytes are not a frame of this protocol"},
	UnknownKey:    {"unknown_key", "the hello names a key that is not in the key set"},
	UnsignedHello: {"unsigned_hello", "the hello is not signed with the key that it names"},
	Unconfirmed:   {"unconfirmed", "the dialer did not confirm the session with its new keys, for example because it replays an old session"},
	Forged:        {"forged", "the frame is not authenticated with the key of the session"},
	Reflected:     {"reflected", "the frame was sent by this side"},
	Replayed:      {"replayed", "the frame was received before"},
	Reordered:     {"reordered", "the frame arrived ahead of an earlier one"},
	Undecodable:   {"undecodable", "the authenticated payload is not a message"},
}

// Causes returns all causes, so that a counter can be declared for each.
func Causes() []Cause {
	all := make([]Cause, causeCount)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// String returns the name that metrics use.
func (c Cause) String() string {
	if c < 0 || c >= causeCount {
		return "other"
	}
	return causeInfos[c].name
}

// Refusal is the error for a refused connection or frame.
type Refusal struct {
	Cause Cause
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.Cause, causeInfos[r.Cause].text)
}
