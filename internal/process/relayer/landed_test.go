package relayer

import (
	"net/http"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// The types below are those of build 01113c9, which reads the messages of this build
// beside it. It refuses an array with another number of elements and an unknown kind, and
// ends the connection.
type (
	landedStamp struct {
		_msgpack        struct{} `msgpack:",as_array"`
		Version, Digest uint64
	}
	landedMember struct {
		_msgpack              struct{} `msgpack:",as_array"`
		Instance              lister.Instance
		Incarnation, Revision uint64
		State                 uint8
		Leaving, CutOff       bool
	}
	landedPacket struct {
		_msgpack    struct{} `msgpack:",as_array"`
		Type        uint8
		Sequence    uint64
		From        landedMember
		PingAddress netip.AddrPort
		AckedBy     []landedMember
		Digest      uint64
		Updates     []landedMember
	}
	landedRumor struct {
		_msgpack       struct{} `msgpack:",as_array"`
		ID             uint64
		Topic          uint8
		Place, Service string
		Target         netip.AddrPort
		Start          string
		Fingerprint    uint64
		Instance       netip.AddrPort
		Rate           float64
		TTL            time.Duration
	}
	landedEnvelope struct {
		_msgpack struct{} `msgpack:",as_array"`
		Packet   landedPacket
		Stamps   [2]landedStamp
		Rumors   []landedRumor
	}
	landedAnnouncement struct {
		_msgpack struct{} `msgpack:",as_array"`
		Stamps   [2]landedStamp
	}
	landedPull struct {
		_msgpack struct{} `msgpack:",as_array"`
		Kind     uint8
	}
	landedDocument struct {
		_msgpack   struct{} `msgpack:",as_array"`
		Kind       uint8
		Stamp      landedStamp
		Compressed []byte
	}
	landedCatchup struct {
		_msgpack struct{} `msgpack:",as_array"`
		Stamps   [2]landedStamp
		Rumors   []landedRumor
	}
	landedOperation struct {
		_msgpack     struct{} `msgpack:",as_array"`
		Incarnation  uint64
		Method, Path string
		Header       http.Header
		Body, Route  []byte
		Timeout      time.Duration
	}
	landedOutcome struct {
		_msgpack struct{} `msgpack:",as_array"`
		Status   int
		Header   http.Header
		Body     []byte
	}
	landedResponse struct {
		_msgpack                     struct{} `msgpack:",as_array"`
		NotExecuted, OutcomeTooLarge bool
		Outcome                      landedOutcome
	}
	landedFind struct {
		_msgpack struct{} `msgpack:",as_array"`
		Service  string
	}
	landedOffer struct {
		_msgpack                struct{} `msgpack:",as_array"`
		Target                  string
		Running, Waiting, Slots int
		Slowdown                float32
	}
	landedOffers struct {
		_msgpack struct{} `msgpack:",as_array"`
		Offers   []landedOffer
	}
	landedAsk struct {
		_msgpack    struct{} `msgpack:",as_array"`
		Start, Zone string
		Rate        float64
		Age         time.Duration
	}
	landedPermit struct {
		_msgpack struct{} `msgpack:",as_array"`
		Wait     time.Duration
		Rate     float64
		Age      time.Duration
	}
)

// readings holds, for each kind of message that build 01113c9 knows, a body of this build
// and what that build decodes it into.
var readings = map[framer.Kind]struct{ body, landed any }{
	kindPacket:          {&envelope{}, &landedEnvelope{}},
	kindAnnounce:        {&announcement{}, &landedAnnouncement{}},
	kindPull:            {&pullRequest{}, &landedPull{}},
	kindDocument:        {&document{}, &landedDocument{}},
	kindCatchup:         {&announcement{}, &landedAnnouncement{}},
	kindCatchupResponse: {&catchupResponse{}, &landedCatchup{}},
	kindRumors:          {&[]Rumor{}, &[]landedRumor{}},
	kindOperation:       {&Operation{}, &landedOperation{}},
	kindOutcome:         {&operationResponse{}, &landedResponse{}},
	kindCancel:          {nil, nil},
	kindConfirm:         {&announcement{}, &landedAnnouncement{}},
	kindFindTargets:     {&findRequest{}, &landedFind{}},
	kindTargetOffers:    {&targetOffers{}, &landedOffers{}},
	kindAskPermit:       {&PermitRequest{}, &landedAsk{}},
	kindPermit:          {&PermitResponse{}, &landedPermit{}},
}

// landedTypes and landedTopics are the numbers of types of packets and topics of rumors
// that build 01113c9 knows. It passes over others.
const (
	landedTypes  = detector.Type(6)
	landedTopics = Topic(7)
)
