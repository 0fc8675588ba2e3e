package registrar

import (
	"sync"

	"github.com/gravitational/trace"
)

const (
	// offsetShift is the number of bits of a list's revision that hold the revision of the
	// platform's store. The bits above hold the offset of the era.
	offsetShift = 40
	// maxOffset is the greatest offset that the bits above hold.
	maxOffset = 1<<(64-offsetShift) - 1
)

// Numbering gives lists revisions that order them by the era of the platform's store and then
// by the store's revision. The offset of an era is the number of eras since the earliest one
// whose lists an instance has met, so that the revision is the store's own until the store has
// returned from a copy: builds that know no eras then order their lists and those of this
// build alike. Instances that have met different lists agree once they have met each other's.
//
// It is safe for concurrent use.
type Numbering struct {
	mutex sync.Mutex
	// known is set once a list was met. The offset of an era is the era less
	// first, which only falls; latest is the latest era.
	known         bool
	first, latest int64
}

// Number replaces the revision of a list, which is that of the store, by the one that orders it
// among all lists. It returns an error if a list of a later era is known.
func (n *Numbering) Number(l *List) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err := n.meet(l.Era, 0); err != nil {
		return err
	}
	l.Revision |= uint64(min(int64(l.Era)-n.first, maxOffset)) << offsetShift
	return nil
}

// Renumbered returns a copy of a list that Number has numbered with its revision as Number
// gives it now, or nil if that is no higher. Of a list without an era it returns nil.
func (n *Numbering) Renumbered(l *List) *List {
	if l.Era == 0 {
		return nil
	}
	again := *l
	again.Revision &= 1<<offsetShift - 1
	if n.Number(&again) != nil || again.Revision <= l.Revision {
		return nil
	}
	return &again
}

// Check takes note of a list of any instance. It returns an error if a list of a later era is
// known: its revision may be higher all the same.
func (n *Numbering) Check(l *List) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if l.Era == 0 {
		// The list may be of an older build, which does not read the era.
		return nil
	}
	return n.meet(l.Era, int64(l.Revision>>offsetShift))
}

// meet takes note of an era and of its offset at some instance.
func (n *Numbering) meet(era uint64, offset int64) error {
	e := int64(era)
	if !n.known {
		n.known, n.first, n.latest = true, e-offset, e
	}
	n.first = min(n.first, e-offset)
	if e < n.latest {
		return trace.CompareFailed("the list is of era %d of the platform's store, expected at least %d", e, n.latest)
	}
	n.latest = e
	return nil
}
