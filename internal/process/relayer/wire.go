package relayer

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// The kinds of messages between instances.
const (
	kindPacket framer.Kind = iota + 1
	kindAnnounce
	kindPull
	kindDocument
	kindHold
	kindHeld
	kindRumors
	kindOperation
	kindOutcome
	kindCancel
	kindVouch
	kindFind
	kindFound
	messageKinds
)

// names holds the name of each kind of message, for counters.
var names = [messageKinds]string{
	kindPacket:    "packet",
	kindAnnounce:  "announce",
	kindPull:      "pull",
	kindDocument:  "document",
	kindHold:      "hold",
	kindHeld:      "held",
	kindRumors:    "rumors",
	kindOperation: "operation",
	kindOutcome:   "outcome",
	kindCancel:    "cancel",
	kindVouch:     "vouch",
	kindFind:      "find",
	kindFound:     "found",
}

// handler takes a received message. An error is a message that makes no sense.
type handler func(*link, framer.Message, time.Time) error

// handlers returns what each kind of message leads to; answers go to the one
// who asked.
func (r *Relayer) handlers() [messageKinds]handler {
	return [messageKinds]handler{
		kindPacket:    r.handlePacket,
		kindAnnounce:  r.handleAnnounce,
		kindPull:      r.handlePull,
		kindDocument:  handleAnswer,
		kindHold:      r.handleHold,
		kindHeld:      handleAnswer,
		kindRumors:    r.handleRumors,
		kindOperation: r.handleOperation,
		kindOutcome:   handleAnswer,
		kindCancel:    handleCancel,
		kindVouch:     r.handleVouch,
		kindFind:      r.handleFind,
		kindFound:     handleAnswer,
	}
}

// stamp orders the documents of one kind.
type stamp struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Digest  uint64
}

// newer reports whether a document is to be preferred to another.
func (s stamp) newer(o stamp) bool {
	if s.Version != o.Version {
		return s.Version > o.Version
	}
	return s.Digest > o.Digest
}

// envelope is the body of a packet message.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"`

	Packet detector.Packet
	Stamps [kindCount]stamp
	Rumors []Rumor
}

// announcement tells which documents the sender holds.
type announcement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stamps [kindCount]stamp
}

// pull asks for a document.
type pull struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind DocumentKind
}

// document answers pull.
type document struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind  DocumentKind
	Stamp stamp
	// Packed is the compressed text.
	Packed []byte
}

// holding answers a hold message: what a starting instance has to know.
type holding struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stamps [kindCount]stamp
	Rumors []Rumor
}

// outcome answers a forwarded operation.
type outcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Refused is set when the operation names another incarnation.
	Refused bool
	// Lost is set when the operation was executed and its answer does not fit a frame.
	Lost    bool
	Outcome Outcome
}
