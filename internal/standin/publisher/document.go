package publisher

import (
	"sync"
)

// revision is one published text of a document.
type revision struct {
	number uint64
	text   []byte
}

// document is a published text with its history and its waiting watches.
type document struct {
	mu sync.Mutex
	// history holds every published revision in the order of publication.
	history []revision
	// pinned is the revision that stale readers get; 0 serves the newest.
	pinned uint64
	// changed is closed and replaced when the served revision may have changed.
	changed chan struct{}
}

// newDocument returns a document without any revision.
func newDocument() *document { return &document{changed: make(chan struct{})} }

// publish adds a revision and wakes the watches.
func (d *document) publish(number uint64, text []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, revision{number: number, text: text})
	d.wake()
}

// pin makes the document serve the newest revision that is not above number;
// 0 serves the newest of all.
func (d *document) pin(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pinned = number
	d.wake()
}

// wake ends the waiting of all watches. The lock is held.
func (d *document) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// served returns the revision that readers get now and a channel that is closed
// at the next change. A document without revisions serves number 0.
func (d *document) served() (revision, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := revision{}
	for _, r := range d.history {
		if d.pinned == 0 || r.number <= d.pinned {
			found = r
		}
	}
	return found, d.changed
}

// previous returns the number of the revision before the newest, or 0.
func (d *document) previous() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.history) < 2 {
		return 0
	}
	return d.history[len(d.history)-2].number
}
