package detector

import "net/netip"

// Type tells what a packet asks for or answers.
type Type uint8

// The types of packets.
const (
	// Ping asks for an Ack.
	Ping Type = iota
	// Ack answers a Ping.
	Ack
	// PingRequest asks a helper to ping Target and to pass on its answer.
	PingRequest
	// RelayedAck passes on the answer of a member that was pinged upon Request.
	RelayedAck
	// Sync carries the sender's whole table and asks for the receiver's.
	Sync
	// Table answers Sync.
	Table
	typeCount
)

// String returns the name of the type.
func (t Type) String() string {
	if t >= typeCount {
		return "other"
	}
	return [...]string{"ping", "ack", "request", "relayed", "sync", "table"}[t]
}

// Packet is one message between two detectors.
type Packet struct {
	_msgpack struct{} `msgpack:",as_array"`

	Type Type
	// Sequence matches Ack and Relayed to the ping of the one who asked.
	Sequence uint64
	// From is the sender's own member.
	From Member
	// PingAddress is the member to ping for a Request.
	PingAddress netip.AddrPort
	// AckedBy holds the member that answered, for a Relayed.
	AckedBy []Member
	// Digest sums up the members that the sender believes to run.
	Digest uint64
	// Updates holds news, or the whole table for Sync and Table.
	Updates []Member
}

// Outgoing is a packet to send.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}
