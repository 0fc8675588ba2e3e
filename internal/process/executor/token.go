package executor

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// MaxPartBytes is the greatest length of the caller's part of an operation id.
const MaxPartBytes = 64

const (
	fieldSeparator = "~"
	partSeparator  = "/"
)

// Token identifies one epoch of one incarnation of an instance, the executor.
type Token struct {
	// Peer is the address at which other instances reach the executor.
	Peer netip.AddrPort
	// Incarnation identifies one start of the process; no two starts share it.
	Incarnation uint64
	// Epoch counts from 1 within an incarnation.
	Epoch uint64
}

// String returns the wire form of the token.
func (t Token) String() string {
	return fmt.Sprintf("%s%s%016x%s%d", t.Peer, fieldSeparator, t.Incarnation, fieldSeparator, t.Epoch)
}

// ParseToken parses the wire form. It accepts only the exact output of String.
func ParseToken(text string) (Token, error) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != 3 {
		return Token{}, trace.BadParameter("executor token %q has %d fields, want 3", text, len(fields))
	}
	peer, err := netip.ParseAddrPort(fields[0])
	if err != nil {
		return Token{}, trace.BadParameter("executor token %q has an invalid address: %v", text, err)
	}
	incarnation, err := strconv.ParseUint(fields[1], 16, 64)
	if err != nil {
		return Token{}, trace.BadParameter("executor token %q has an invalid incarnation: %v", text, err)
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return Token{}, trace.BadParameter("executor token %q has an invalid epoch: %v", text, err)
	}
	t := Token{Peer: peer, Incarnation: incarnation, Epoch: epoch}
	if t.String() != text {
		return Token{}, trace.BadParameter("executor token %q is not in canonical form, want %q", text, t)
	}
	return t, nil
}

// OperationID identifies one non-idempotent operation.
type OperationID struct {
	// Token identifies the only executor that may run the operation.
	Token Token
	// Part is chosen by the caller, which uses it once per token.
	Part string
}

// String returns the wire form of the id.
func (o OperationID) String() string {
	return o.Token.String() + partSeparator + o.Part
}

// ParseOperationID parses the wire form. It accepts only the exact output of String.
func ParseOperationID(text string) (OperationID, error) {
	head, part, found := strings.Cut(text, partSeparator)
	if !found {
		return OperationID{}, trace.BadParameter("operation id %q has no caller part", text)
	}
	if !validPart(part) {
		return OperationID{}, trace.BadParameter("caller part %q is not 1 to %d characters of [A-Za-z0-9_-]", part, MaxPartBytes)
	}
	token, err := ParseToken(head)
	if err != nil {
		return OperationID{}, trace.Wrap(err)
	}
	return OperationID{Token: token, Part: part}, nil
}

// validPart reports whether part is 1 to MaxPartBytes characters of [A-Za-z0-9_-].
func validPart(part string) bool {
	if part == "" || len(part) > MaxPartBytes {
		return false
	}
	for _, c := range []byte(part) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
