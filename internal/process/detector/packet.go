package detector

import "net/netip"

// Type is the type of a packet.
type Type uint8

// The types of packets.
const (
	// Ping asks for an Ack.
	Ping Type = iota
	// Ack answers a Ping.
	Ack
	// PingRequest asks a helper to ping PingAddress and to pass on the ack.
	PingRequest
	// RelayedAck passes on the ack of a member that was pinged after a PingRequest.
	RelayedAck
	// Sync carries the sender's whole table and asks for that of the receiver.
	Sync
	// Table answers Sync.
	Table
	typeCount
)

// Known reports whether this build knows the type.
func (t Type) Known() bool { return t < typeCount }

// String returns the name of the type, "other" for an unknown one.
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
	// Sequence matches an Ack or a RelayedAck to the ping of its receiver.
	Sequence uint64
	// From is the sender's own member.
	From Member
	// PingAddress is the address to ping for a PingRequest.
	PingAddress netip.AddrPort
	// AckedBy holds the one member that acked, for a RelayedAck.
	AckedBy []Member
	// Digest is a hash of the sender's alive and suspect members and of the sender.
	Digest uint64
	// Updates holds statements about members, or the whole table for Sync and Table.
	Updates []Member
}

// Outgoing is a packet to send and its receiver.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}
