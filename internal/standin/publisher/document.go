package publisher

import (
	"sync"
)

// revision is one published text of a document with its number.
type revision struct {
	number uint64
	text   []byte
}

// document holds the published revisions of the settings tree or of the list.
type document struct {
	mu sync.Mutex
	// history holds the revisions in the order of publication.
	history []revision
	// pinned limits the number of the revision that readers get; 0 means no limit.
	pinned uint64
	// changed is closed and replaced when the current revision may have changed.
	changed chan struct{}
}

// newDocument returns a document without revisions.
func newDocument() *document { return &document{changed: make(chan struct{})} }

// publish adds a revision and wakes the watches.
func (d *document) publish(number uint64, text []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, revision{number: number, text: text})
	d.wakeWatches()
}

// pin makes readers get the latest published revision whose number is at most
// number. 0 removes the limit.
func (d *document) pin(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pinned = number
	d.wakeWatches()
}

// wakeWatches wakes all watches. The caller holds the lock.
func (d *document) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// current returns the revision that readers get now, and a channel that is closed at
// the next change. Without a revision the number is 0.
func (d *document) current() (revision, <-chan struct{}) {
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

// previous returns the number of the second newest revision, or 0.
func (d *document) previous() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.history) < 2 {
		return 0
	}
	return d.history[len(d.history)-2].number
}
