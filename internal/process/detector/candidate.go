package detector

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// candidatesWhenIsolated is the number of candidates tried in each period by an
	// instance that has no alive or suspect member.
	candidatesWhenIsolated = 3
	// minRetryDelay and maxRetryDelay bound the exponential delay between two pings
	// to a candidate.
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
	// isolatedRetryDelay is the delay for an instance that has no alive or suspect member.
	// It does not grow: until such an instance meets another one, it knows neither its
	// shares of what the fleet may use nor what the others know.
	isolatedRetryDelay = 500 * time.Millisecond
)

// candidate is the retry state of an address at which an instance may run.
type candidate struct {
	nextTry time.Time
	delay   time.Duration
}

// SetListed sets the addresses that the list names. They are pinged with a growing
// delay until a member is known there. Members are not affected.
func (d *Detector) SetListed(listed []netip.AddrPort, now time.Time) {
	d.listed = slices.Clone(listed)
	for a := range d.candidates {
		if !d.isSeedOrListed(a) {
			delete(d.candidates, a)
		}
	}
	for _, a := range slices.Concat(d.options.Seeds, listed) {
		if a == d.self.Instance.Peer || d.records[a] != nil || d.candidates[a] != nil || !a.IsValid() {
			continue
		}
		d.candidates[a] = &candidate{nextTry: now}
	}
}

// isSeedOrListed reports whether the seeds or the list name an address.
func (d *Detector) isSeedOrListed(a netip.AddrPort) bool {
	return slices.Contains(d.options.Seeds, a) || slices.Contains(d.listed, a)
}

// takeCandidates returns one random candidate that is due and delays its next try. An
// instance without alive or suspect members gets up to candidatesWhenIsolated.
func (d *Detector) takeCandidates(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for a, c := range d.candidates {
		if !now.Before(c.nextTry) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	n, isolated := 1, len(d.table()) == 0
	if isolated {
		n = candidatesWhenIsolated
	}
	for i := range min(n, len(due)) {
		j := i + int(d.options.Random()%uint64(len(due)-i))
		due[i], due[j] = due[j], due[i]
		c := d.candidates[due[i]]
		c.delay = min(max(2*c.delay, minRetryDelay), maxRetryDelay)
		if isolated {
			c.delay = isolatedRetryDelay
		}
		c.nextTry = now.Add(c.delay)
	}
	return due[:min(n, len(due))]
}
