package relayer

import (
	"net/http"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// recorded is a message with the body that it carries.
type recorded struct {
	name string
	kind framer.Kind
	body any
}

// recordedMessages returns messages of each kind, packets of each type and rumors of each topic of
// build 01113c9. testdata/landed holds them as that build writes them.
func recordedMessages() []recorded {
	address := func(n byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, n}), 8146)
	}
	member := func(n byte) detector.Member {
		return detector.Member{
			Instance: lister.Instance{
				Address: address(n), Peer: address(n), Admin: address(n), Place: "himal", Zone: "himal-a", State: lister.Live,
			},
			Incarnation: 1<<63 + uint64(n), Revision: 5, State: detector.Suspect, Leaving: true, CutOff: true,
		}
	}
	stamps := [documentKindCount]stamp{{Version: 7, Digest: 1 << 62}, {Version: 9, Digest: 11}}
	var rumors []Rumor
	for topic := Draining; topic <= Limit; topic++ {
		rumors = append(rumors, Rumor{
			ID: 1 << 60, Topic: topic, Place: "himal", Service: "parts", Target: address(77), Start: "i-1/1700000000000",
			Fingerprint: 12345, Instance: address(1), Rate: 1.5, TTL: time.Minute,
		})
	}
	header := http.Header{"Host": {"parts.example"}, "X-Priority": {"1", "2"}}
	all := []recorded{
		{"announce", kindAnnounce, &announcement{Stamps: stamps}},
		{"pull", kindPull, &pullRequest{Kind: List}},
		{"document", kindDocument, &document{Kind: List, Stamp: stamps[1], Compressed: []byte("compressed")}},
		{"hold", kindCatchup, &announcement{Stamps: stamps}},
		{"held", kindCatchupResponse, &catchupResponse{Stamps: stamps, Rumors: rumors}},
		{"rumors", kindRumors, rumors},
		{"operation", kindOperation, &Operation{
			Incarnation: 1 << 63, Method: "POST", Path: "/v1/parts?x=1", Header: header, Body: []byte("body"),
			Route: []byte(`{"name":"r"}`), Timeout: time.Second,
		}},
		{"outcome", kindOutcome, &operationResponse{
			NotExecuted: true, OutcomeTooLarge: true, Outcome: Outcome{Status: 200, Header: header, Body: []byte("answer")},
		}},
		{"cancel", kindCancel, nil},
		{"vouch", kindConfirm, &announcement{Stamps: stamps}},
		{"find", kindFindTargets, &findRequest{Service: "parts"}},
		{"found", kindTargetOffers, &targetOffers{Offers: []TargetOffer{{Target: "i-1/17", Running: 1, Waiting: 2, Slots: 3, Slowdown: 1.5}}}},
		{"ask", kindAskPermit, &PermitRequest{Start: "i-1/17", Zone: "himal-a", Rate: 2.5, Age: time.Second}},
		{"permit", kindPermit, &PermitResponse{Wait: time.Second, Rate: 2.5, Age: time.Minute}},
	}
	for t := detector.Ping; t <= detector.Table; t++ {
		all = append(all, recorded{"packet-" + t.String(), kindPacket, &envelope{
			Packet: detector.Packet{
				Type: t, Sequence: 1 << 61, From: member(1), PingAddress: address(2), AckedBy: []detector.Member{member(2)},
				Digest: 99, Updates: []detector.Member{member(3), member(4)},
			},
			Stamps: stamps, Rumors: rumors,
		}})
	}
	return all
}
