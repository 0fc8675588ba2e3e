package reserver

import "sync/atomic"

// Reserver is one account of memory. Its methods are safe for concurrent use.
type Reserver struct {
	// parent is the account that this one is a part of, or nil.
	parent *Reserver
	limit  int64
	// held may exceed limit, because of Force.
	held atomic.Int64
}

// New returns an account of at most limit bytes. What it holds also counts in its
// parent, which may be nil.
func New(limit int64, parent *Reserver) *Reserver {
	return &Reserver{parent: parent, limit: limit}
}

// Take reserves n bytes and reports whether the account and its parents have room for
// them. If not, nothing is reserved.
func (r *Reserver) Take(n int64) bool {
	if r.held.Add(n) > r.limit {
		r.held.Add(-n)
		return false
	}
	if r.parent != nil && !r.parent.Take(n) {
		r.held.Add(-n)
		return false
	}
	return true
}

// Force reserves n bytes, also beyond the limit. It is for small amounts without which
// a request in progress could not end.
func (r *Reserver) Force(n int64) {
	r.held.Add(n)
	if r.parent != nil {
		r.parent.Force(n)
	}
}

// Release gives back n reserved bytes.
func (r *Reserver) Release(n int64) {
	r.held.Add(-n)
	if r.parent != nil {
		r.parent.Release(n)
	}
}

// Held returns the reserved bytes.
func (r *Reserver) Held() int64 { return r.held.Load() }

// Full reports whether the limit is reached.
func (r *Reserver) Full() bool { return r.held.Load() >= r.limit }
