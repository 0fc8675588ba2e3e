package forwarder

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// Statement is what a target says of itself in a response. A value that cannot be read
// counts as missing, and its field is in Misread.
type Statement struct {
	// Limit is the number of requests and probes per second that the target takes from all
	// instances together; limiter.Unlimited if it names none.
	Limit float64
	// LimitUnreadable means that the target names a limit that cannot be read. The one that
	// was known before stays.
	LimitUnreadable bool
	// Leaving means that the target takes no new requests.
	Leaving bool
	// Pause is how long the target wants no message from this instance; 0 means that it
	// does not ask for a pause.
	Pause time.Duration
	// Warmup is how long the target stays cold. It is valid if StatesWarmup is set.
	Warmup       time.Duration
	StatesWarmup bool
	// Misread holds the fields whose values cannot be read, by name.
	Misread map[string]string
}

// The kinds of statements, in metrics.
const (
	statesLeaving = "leaving"
	statesPause   = "pause"
	statesWarmup  = "cold"
	statesMisread = "misread"
)

// observe applies what a target says of itself in a response to a message with a purpose.
// It decides nothing: the registrar, the admitter and the limiter do.
func (s *service) observe(t placer.Target, r *sender.Response, purpose string, now time.Time) {
	f := s.forwarder
	stated := f.options.Dialect.Statement(r)
	for field, value := range stated.Misread {
		f.counters.countStatement(s.name, statesMisread)
		if f.misread.add(t.ID, field) {
			_ = level.Warn(f.options.Logger).Log("msg", "statement ignored", "service", s.name, "target", t.ID, "field", field, "value", value)
		}
	}
	if stated.Leaving {
		f.counters.countStatement(s.name, statesLeaving)
		f.options.OnTargetLeaving(t.ID, now)
	}
	if stated.Pause > 0 {
		s.pause(t, stated.Pause, now)
	}
	if stated.StatesWarmup && f.options.OnTargetWarmup(s.name, t.ID, stated.Warmup, now) {
		f.counters.countStatement(s.name, statesWarmup)
		_ = level.Info(f.options.Logger).Log("msg", "warm-up changed", "service", s.name, "target", t.ID, "left", stated.Warmup)
	}
	if !stated.LimitUnreadable {
		s.observeLimit(t, stated.Limit, purpose, now)
	}
}

// pause keeps all messages of this instance from a target for some time.
func (s *service) pause(t placer.Target, d time.Duration, now time.Time) {
	f := s.forwarder
	f.counters.countStatement(s.name, statesPause)
	if f.admitter.Run(t.ID).Pause(now.Add(d), now) {
		_ = level.Info(f.options.Logger).Log("msg", "target paused", "service", s.name, "target", t.ID, "address", t.Address, "left", d)
	}
}

// misread holds the fields whose values could not be read, by run, so that each is logged
// once. It is safe for concurrent use.
type misread struct {
	mutex  sync.Mutex
	fields map[string]map[string]bool
}

// add reports whether the field is new for the run.
func (m *misread) add(key, field string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.fields == nil {
		m.fields = map[string]map[string]bool{}
	}
	if m.fields[key] == nil {
		m.fields[key] = map[string]bool{}
	}
	known := m.fields[key][field]
	m.fields[key][field] = true
	return !known
}

// retain forgets the runs that are not listed.
func (m *misread) retain(listed func(key string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key := range m.fields {
		if !listed(key) {
			delete(m.fields, key)
		}
	}
}
