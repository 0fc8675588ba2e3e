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
	directionCount
)

// directionTags holds the metric tag of each direction.
var directionTags = [directionCount]string{sent: "sent", received: "received"}

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

// unknown is what a peer of another build sent and this build doesn't know.
type unknown int

const (
	unknownMessage unknown = iota
	unknownPacket
	unknownTopic
	unknownDocument
	unknownCount
)

// unknownTags holds the metric tag of each unknown.
var unknownTags = [unknownCount]string{unknownMessage: "message", unknownPacket: "packet", unknownTopic: "topic", unknownDocument: "document"}

// metrics counts messages, refused messages and connections, and member changes.
type metrics struct {
	counters      [directionCount][messageKindEnd]trafficCounter
	refused       map[framer.Cause]tally.Counter
	unknown       [unknownCount]tally.Counter
	memberChanges [detector.Ended + 1]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{refused: map[framer.Cause]tally.Counter{}}
	for d := range directionCount {
		for k := kindPacket; k < messageKindEnd; k++ {
			s := scope.Tagged(map[string]string{"direction": directionTags[d], "kind": kindNames[k]})
			m.counters[d][k].messageCounter = s.Counter("peer_messages")
			m.counters[d][k].byteCounter = s.Counter("peer_bytes")
		}
	}
	for _, c := range framer.Causes() {
		m.refused[c] = scope.Tagged(map[string]string{"cause": c.String()}).Counter("peer_refused")
	}
	for u := range m.unknown {
		m.unknown[u] = scope.Tagged(map[string]string{"what": unknownTags[u]}).Counter("peer_unknown")
	}
	for s := range m.memberChanges {
		m.memberChanges[s] = scope.Tagged(map[string]string{"state": detector.State(s).String()}).Counter("peer_changes")
	}
	return m
}

func (m *metrics) countMessage(d direction, k framer.Kind, size int) {
	c := &m.counters[d][k]
	c.messages.Add(1)
	c.bytes.Add(uint64(size))
	c.messageCounter.Inc(1)
	c.byteCounter.Inc(int64(size))
}

func (m *metrics) countRefusal(c framer.Cause) { m.refused[c].Inc(1) }

func (m *metrics) countUnknown(u unknown) { m.unknown[u].Inc(1) }

func (m *metrics) countChange(s detector.State) { m.memberChanges[s].Inc(1) }

// Traffic returns the counts for each kind of message.
func (r *Relayer) Traffic() []Traffic {
	var all []Traffic
	for k := kindPacket; k < messageKindEnd; k++ {
		out, in := &r.metrics.counters[sent][k], &r.metrics.counters[received][k]
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
