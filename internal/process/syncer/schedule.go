package syncer

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// LongPollWait is how long the platform holds a long poll when nothing changes. It
	// is thus the longest time between two confirmations of a working reader, apart
	// from the time that the call itself takes.
	LongPollWait = time.Second
	// confirmationTimeout plus its rank delay is the time without a confirmation after
	// which an instance starts to read. It exceeds LongPollWait, so that a confirmation
	// that arrives a little late does not count as missing.
	confirmationTimeout = LongPollWait + 300*time.Millisecond
	// rankDelay is added to confirmationTimeout for each predecessor in the order.
	rankDelay = 120 * time.Millisecond
	// maxRankDelay bounds the rank delay of an instance. Targets drain for two seconds,
	// and a new reader must start within that time: confirmationTimeout and
	// maxRankDelay add up to 1.9 s.
	maxRankDelay = 600 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call in a small zone. The
	// delay doubles with each further failure. Jitter then changes it by up to a
	// quarter.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// smallZoneSize is the largest number of instances per zone in a small installation.
	// In zones up to this size the delay after failed calls does not depend on the
	// number of instances. In a larger zone it grows in proportion to that number, so
	// that the call rate of the whole zone, and the time until one of its instances
	// notices the platform's return, stay the same.
	smallZoneSize = 6
	// maxZoneBackoff bounds the delay after failed calls in large zones before jitter,
	// for the case that only one instance can reach the platform.
	maxZoneBackoff = 3 * time.Second
)

// Schedule decides when an instance reads from the platform. It does no input or
// output and is not safe for concurrent use.
type Schedule struct {
	// Random returns a number in [0, 1).
	Random func() float64

	// firstRead is when the first successful read ended; zero before that.
	firstRead time.Time
	// confirmedAt holds the time of the last confirmation of each peer.
	confirmedAt map[netip.AddrPort]time.Time
	// failures counts consecutive failed calls; retryAt is the earliest time of the
	// next call.
	failures int
	retryAt  time.Time
}

// RecordConfirmation records that the copy of a peer is current as of now.
func (s *Schedule) RecordConfirmation(peer netip.AddrPort, now time.Time) {
	if s.confirmedAt == nil {
		s.confirmedAt = map[netip.AddrPort]time.Time{}
	}
	s.confirmedAt[peer] = now
}

// Due reports whether the instance should call the platform now and, if not, when
// to ask again. Predecessors are the live instances of the zone that precede this
// one in the order.
func (s *Schedule) Due(now time.Time, predecessors []netip.AddrPort) (bool, time.Time) {
	if now.Before(s.retryAt) {
		return false, s.retryAt
	}
	var newest time.Time
	for peer, at := range s.confirmedAt {
		if now.Sub(at) > confirmationTimeout+maxRankDelay {
			delete(s.confirmedAt, peer)
			continue
		}
		if at.After(newest) && slices.Contains(predecessors, peer) {
			newest = at
		}
	}
	// The first read counts as a confirmation by a predecessor. Without this, all
	// instances that start at once would keep reading.
	if len(predecessors) > 0 && s.firstRead.After(newest) {
		newest = s.firstRead
	}
	if newest.IsZero() {
		return true, now
	}
	start := newest.Add(confirmationTimeout + min(time.Duration(len(predecessors))*rankDelay, maxRankDelay))
	return !now.Before(start), start
}

// RecordResult records how a call ended. Instances is the number of live instances
// of the zone.
func (s *Schedule) RecordResult(failed bool, instances int, now time.Time) {
	if !failed {
		s.failures, s.retryAt = 0, now
		if s.firstRead.IsZero() {
			s.firstRead = now
		}
		return
	}
	// The shift is bounded to avoid an overflow.
	delay := min(minBackoff<<min(s.failures, 4), maxBackoff)
	// The delay after the first failure does not depend on the size of the zone, so that
	// a large zone finds an instance that can reach the platform just as fast when the
	// platform rejects only some instances.
	if s.failures > 0 {
		delay = min(delay*time.Duration(max(instances, smallZoneSize))/smallZoneSize, maxZoneBackoff)
	}
	s.failures++
	// Jitter of 25% keeps instances from retrying together.
	s.retryAt = now.Add(time.Duration((0.75 + 0.5*s.Random()) * float64(delay)))
}
