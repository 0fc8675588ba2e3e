package relayer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// direction is the direction of a message.
type direction int

const (
	sent direction = iota
	received
	directions
)

// directionTags holds the metric tag of each direction.
var directionTags = [directions]string{sent: "sent", received: "received"}

// Traffic counts the messages of one kind to and from other instances since the
// start.
type Traffic struct {
	// Kind is the name of the kind of message.
	Kind             string
	MessagesSent     uint64
	BytesSent        uint64
	MessagesReceived uint64
	BytesReceived    uint64
}

// IsControl reports whether the traffic is control traffic, as opposed to forwarded
// operations.
func (t Traffic) IsControl() bool {
	return t.Kind != kindNames[kindOperation] && t.Kind != kindNames[kindOutcome] && t.Kind != kindNames[kindCancel]
}

// trafficCounter counts messages of one kind in one direction.
type trafficCounter struct {
	messages, bytes             atomic.Uint64
	messageCounter, byteCounter tally.Counter
}

// traffic counts messages, refused messages and connections, and member changes.
type traffic struct {
	counters      [directions][messageKinds]trafficCounter
	refused       map[framer.Cause]tally.Counter
	memberChanges [detector.Ended + 1]tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	t := &traffic{refused: map[framer.Cause]tally.Counter{}}
	for d := range directions {
		for k := kindPacket; k < messageKinds; k++ {
			s := scope.Tagged(map[string]string{"direction": directionTags[d], "kind": kindNames[k]})
			t.counters[d][k].messageCounter = s.Counter("peer_messages")
			t.counters[d][k].byteCounter = s.Counter("peer_bytes")
		}
	}
	for _, c := range framer.Causes() {
		t.refused[c] = scope.Tagged(map[string]string{"cause": c.String()}).Counter("peer_refused")
	}
	for s := range t.memberChanges {
		t.memberChanges[s] = scope.Tagged(map[string]string{"state": detector.State(s).String()}).Counter("peer_changes")
	}
	return t
}

func (t *traffic) countMessage(d direction, k framer.Kind, size int) {
	m := &t.counters[d][k]
	m.messages.Add(1)
	m.bytes.Add(uint64(size))
	m.messageCounter.Inc(1)
	m.byteCounter.Inc(int64(size))
}

func (t *traffic) countRefusal(c framer.Cause) { t.refused[c].Inc(1) }

func (t *traffic) countChange(s detector.State) { t.memberChanges[s].Inc(1) }

// Traffic returns the counts for each kind of message.
func (r *Relayer) Traffic() []Traffic {
	var all []Traffic
	for k := kindPacket; k < messageKinds; k++ {
		out, in := &r.traffic.counters[sent][k], &r.traffic.counters[received][k]
		all = append(all, Traffic{
			Kind:             kindNames[k],
			MessagesSent:     out.messages.Load(),
			BytesSent:        out.bytes.Load(),
			MessagesReceived: in.messages.Load(),
			BytesReceived:    in.bytes.Load(),
		})
	}
	return all
}
