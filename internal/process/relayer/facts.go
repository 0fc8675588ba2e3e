package relayer

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// Facts is what an instance tells each of the others about itself, on their own
// connection, when it changes and once on each new connection. Peers without the feature
// TellsFacts get nothing. Fields are only added, at the end.
type Facts struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Cores is the share of a processor's core that the instance may use, times its speed,
	// and LinkRate the rate of its network link in bytes per second. 0 means unknown.
	Cores, LinkRate float64
	// Ease is the part of its capacity with which the instance should be counted at present.
	Ease float64
	// Report rises each time that the instance tells its ease again.
	Report uint64
}

// revisedFacts is this instance's facts with a revision that rises with each change.
type revisedFacts struct {
	revision uint64
	facts    Facts
}

// SetFacts replaces this instance's facts. If they have changed, it sends them on the
// open connections. Other peers get them with the next packet of the failure detector.
func (r *Relayer) SetFacts(f Facts) {
	before := r.facts.Load()
	if before != nil && before.facts == f {
		return
	}
	next := &revisedFacts{revision: 1, facts: f}
	if before != nil {
		next.revision = before.revision + 1
	}
	if !r.facts.CompareAndSwap(before, next) {
		return
	}
	for _, l := range r.pool.open() {
		r.spawn(l.sendFacts)
	}
}

// sendFacts sends this instance's facts if the peer reads them and has not got them on
// this link.
func (l *link) sendFacts() {
	f := l.relayer.facts.Load()
	if f == nil || !l.understands(kindFacts) {
		return
	}
	if sent := l.factsSent.Load(); sent >= f.revision || !l.factsSent.CompareAndSwap(sent, f.revision) {
		return
	}
	// A link that fails is closed, and the next one starts without facts.
	_ = l.send(kindFacts, 0, &f.facts)
}

func (r *Relayer) handleFacts(l *link, m framer.Message, now time.Time) error {
	f := Facts{}
	if err := m.Decode(&f); err != nil {
		return err
	}
	if r.options.OnFacts != nil {
		r.options.OnFacts(l.conn.Remote(), f, now)
	}
	return nil
}
