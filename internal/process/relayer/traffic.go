package relayer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// direction tells sent from received messages.
type direction int

const (
	sent direction = iota
	received
	directions
)

// tags holds the counter tag of each direction.
var tags = [directions]string{sent: "sent", received: "received"}

// Traffic is what went over connections to other instances since the start.
type Traffic struct {
	// Kind names the kind of message.
	Kind             string
	MessagesSent     uint64
	BytesSent        uint64
	MessagesReceived uint64
	BytesReceived    uint64
}

// Control reports whether the traffic is oversight and not forwarded work.
func (t Traffic) Control() bool {
	return t.Kind != names[kindOperation] && t.Kind != names[kindOutcome] && t.Kind != names[kindCancel]
}

// meter counts messages of one kind in one direction.
type meter struct {
	messages, bytes       atomic.Uint64
	messagesOut, bytesOut tally.Counter
}

// traffic counts messages, refusals and changes of members.
type traffic struct {
	meters  [directions][messageKinds]meter
	refused map[framer.Cause]tally.Counter
	changed [detector.Ended + 1]tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	t := &traffic{refused: map[framer.Cause]tally.Counter{}}
	for d := range directions {
		for k := kindPacket; k < messageKinds; k++ {
			s := scope.Tagged(map[string]string{"direction": tags[d], "kind": names[k]})
			t.meters[d][k].messagesOut = s.Counter("peer_messages")
			t.meters[d][k].bytesOut = s.Counter("peer_bytes")
		}
	}
	for _, c := range framer.Causes() {
		t.refused[c] = scope.Tagged(map[string]string{"cause": c.String()}).Counter("peer_refused")
	}
	for s := range t.changed {
		t.changed[s] = scope.Tagged(map[string]string{"state": detector.State(s).String()}).Counter("peer_changes")
	}
	return t
}

func (t *traffic) count(d direction, k framer.Kind, size int) {
	m := &t.meters[d][k]
	m.messages.Add(1)
	m.bytes.Add(uint64(size))
	m.messagesOut.Inc(1)
	m.bytesOut.Inc(int64(size))
}

func (t *traffic) refuse(c framer.Cause) { t.refused[c].Inc(1) }

func (t *traffic) change(s detector.State) { t.changed[s].Inc(1) }

// Traffic returns the counts of each kind of message.
func (r *Relayer) Traffic() []Traffic {
	var all []Traffic
	for k := kindPacket; k < messageKinds; k++ {
		out, in := &r.traffic.meters[sent][k], &r.traffic.meters[received][k]
		all = append(all, Traffic{
			Kind:             names[k],
			MessagesSent:     out.messages.Load(),
			BytesSent:        out.bytes.Load(),
			MessagesReceived: in.messages.Load(),
			BytesReceived:    in.bytes.Load(),
		})
	}
	return all
}
