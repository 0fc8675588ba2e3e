package detector

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// candidatesAlone is the number of candidates tried per period by an instance
	// that knows no live member.
	candidatesAlone = 3
	// firstRetry and lastRetry bound the growing time between tries of a candidate.
	firstRetry = time.Second
	lastRetry  = time.Minute
)

// candidate is an address that may have an instance.
type candidate struct {
	next time.Time
	wait time.Duration
}

// SetListed sets the addresses that the list names. They are tried until they
// answer, ever more rarely; members are not affected.
func (d *Detector) SetListed(listed []netip.AddrPort, now time.Time) {
	d.listed = slices.Clone(listed)
	for a := range d.candidates {
		if !d.seeded(a) {
			delete(d.candidates, a)
		}
	}
	for _, a := range slices.Concat(d.options.Seeds, listed) {
		if a == d.self.Instance.Peer || d.records[a] != nil || d.candidates[a] != nil || !a.IsValid() {
			continue
		}
		d.candidates[a] = &candidate{next: now}
	}
}

// seeded reports whether an address comes from the flags or the list.
func (d *Detector) seeded(a netip.AddrPort) bool {
	return slices.Contains(d.options.Seeds, a) || slices.Contains(d.listed, a)
}

// takeCandidates returns the candidates to try in this period.
func (d *Detector) takeCandidates(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for a, c := range d.candidates {
		if !now.Before(c.next) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	n := 1
	if len(d.table()) == 0 {
		n = candidatesAlone
	}
	for i := range min(n, len(due)) {
		j := i + int(d.options.Random()%uint64(len(due)-i))
		due[i], due[j] = due[j], due[i]
		c := d.candidates[due[i]]
		c.wait = min(max(2*c.wait, firstRetry), lastRetry)
		c.next = now.Add(c.wait)
	}
	return due[:min(n, len(due))]
}
