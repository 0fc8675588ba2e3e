package relayer

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// The kinds of messages between instances. The values are part of the wire format. Builds
// up to 01113c9 end a connection on which a kind arrives that they don't know, so
// kindFeatures names a feature for each kind after kindPermit.
const (
	kindPacket framer.Kind = iota + 1
	kindAnnounce
	kindPull
	kindDocument
	kindCatchup
	kindCatchupResponse
	kindRumors
	kindOperation
	kindOutcome
	kindCancel
	kindConfirm
	kindFindTargets
	kindTargetOffers
	kindAskPermit
	kindPermit
	kindFacts
	// messageKindEnd is one above the last kind.
	messageKindEnd
)

// kindNames holds the name of each kind of message. The names are part of the
// metrics and must not change, even where they differ from the constants.
var kindNames = [messageKindEnd]string{
	kindPacket:          "packet",
	kindAnnounce:        "announce",
	kindPull:            "pull",
	kindDocument:        "document",
	kindCatchup:         "hold",
	kindCatchupResponse: "held",
	kindRumors:          "rumors",
	kindOperation:       "operation",
	kindOutcome:         "outcome",
	kindCancel:          "cancel",
	kindConfirm:         "vouch",
	kindFindTargets:     "find",
	kindTargetOffers:    "found",
	kindAskPermit:       "ask",
	kindPermit:          "permit",
	kindFacts:           "facts",
}

// kindFeatures holds the features that a peer must have to be sent a kind.
var kindFeatures = [messageKindEnd]Features{
	kindFacts: 1 << TellsFacts,
}

// handler handles a received message. It returns an error for an invalid message,
// which ends the connection.
type handler func(*link, framer.Message, time.Time) error

// handlers returns the handler of each kind of message. Responses are passed to the
// calls that wait for them.
func (r *Relayer) handlers() [messageKindEnd]handler {
	return [messageKindEnd]handler{
		kindPacket:          r.handlePacket,
		kindAnnounce:        r.handleAnnounce,
		kindPull:            r.handlePull,
		kindDocument:        handleResponse,
		kindCatchup:         r.handleCatchup,
		kindCatchupResponse: handleResponse,
		kindRumors:          r.handleRumors,
		kindOperation:       r.handleOperation,
		kindOutcome:         handleResponse,
		kindCancel:          handleCancel,
		kindConfirm:         r.handleConfirm,
		kindFindTargets:     r.handleFind,
		kindTargetOffers:    handleResponse,
		kindAskPermit:       r.handleAskPermit,
		kindPermit:          handleResponse,
		kindFacts:           r.handleFacts,
	}
}

// stamp is the version and digest of a document. Stamps order the documents of one
// kind.
type stamp struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Digest  uint64
}

// newer reports whether s has a higher version than o, or a higher digest with the
// same version.
func (s stamp) newer(o stamp) bool {
	if s.Version != o.Version {
		return s.Version > o.Version
	}
	return s.Digest > o.Digest
}

// envelope carries a packet of the failure detector with the sender's stamps and
// rumors.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"`

	Packet detector.Packet
	Stamps [documentKindCount]stamp
	Rumors []Rumor
}

// announcement holds the stamps of the sender's documents in force.
type announcement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stamps [documentKindCount]stamp
}

// pullRequest asks for the document of a kind.
type pullRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind DocumentKind
}

// document is the response to a pullRequest.
type document struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind  DocumentKind
	Stamp stamp
	// Compressed is the text, compressed with DEFLATE.
	Compressed []byte
}

// catchupResponse is the response to a catchup message of a starting instance.
type catchupResponse struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stamps [documentKindCount]stamp
	Rumors []Rumor
}

// operationResponse is the response to a forwarded operation.
type operationResponse struct {
	_msgpack struct{} `msgpack:",as_array"`

	// NotExecuted is set if the operation names another incarnation, or if the receiver
	// has no Options.Execute.
	NotExecuted bool
	// OutcomeTooLarge is set if the operation was executed but its outcome exceeds
	// MaxFrameBytes.
	OutcomeTooLarge bool
	Outcome         Outcome
}
