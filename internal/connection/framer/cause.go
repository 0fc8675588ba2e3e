package framer

import "fmt"

// Cause says why a connection or a frame was refused.
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

// causes describes each cause for counters and error texts.
var causes = [causeCount]struct{ name, text string }{
	Truncated:     {"truncated", "the connection ended within a frame"},
	Oversized:     {"oversized", "the frame is longer than allowed"},
	Garbage:       {"garbage", "the bytes are not a frame of this protocol"},
	UnknownKey:    {"unknown_key", "the hello names a key that is not in the key set"},
	UnsignedHello: {"unsigned_hello", "the hello is not signed with the key that it names"},
	Unconfirmed:   {"unconfirmed", "the session was not confirmed with fresh keys, as when an old one is replayed"},
	Forged:        {"forged", "the frame is not signed with the key of the session"},
	Reflected:     {"reflected", "the frame was sent by this side"},
	Replayed:      {"replayed", "the frame was received before"},
	Reordered:     {"reordered", "the frame arrived ahead of an earlier one"},
	Undecodable:   {"undecodable", "the signed payload is not a message"},
}

// Causes returns every cause, for declaring counters.
func Causes() []Cause {
	all := make([]Cause, causeCount)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// String returns the name used for counters.
func (c Cause) String() string {
	if c < 0 || c >= causeCount {
		return "other"
	}
	return causes[c].name
}

// Refusal is the error of a refused connection or frame.
type Refusal struct {
	Cause Cause
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.Cause, causes[r.Cause].text)
}
