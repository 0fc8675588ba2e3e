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
	// maxRankDelay bounds the rank delay of the first smallZoneSize instances in the
	// order. Targets drain for two seconds, and a new reader must start within that time:
	// confirmationTimeout and maxRankDelay add up to 1.9 s.
	maxRankDelay = 600 * time.Millisecond
	// turnInterval is the mean time between the starts of the instances that come after
	// the first smallZoneSize in the order. All of them miss the same confirmations, and
	// together they must call a platform that does not answer no more often than a small
	// zone does.
	turnInterval = maxBackoff / smallZoneSize
	// maxConfirmationAge is the age after which a confirmation is forgotten. The last turn
	// in a zone of 1,000 instances comes earlier.
	maxConfirmationAge = 2 * time.Minute
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

	// turn is this instance's place among the instances that take turns after the first
	// smallZoneSize, in [0, 1).
	turn float64
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
		if now.Sub(at) > maxConfirmationAge {
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
	start := newest.Add(confirmationTimeout + s.startDelay(len(predecessors)))
	return !now.Before(start), start
}

// startDelay returns how much longer than confirmationTimeout an instance waits for a
// confirmation before it reads. An instance after the first smallZoneSize waits for a
// random turn. The later it is in the order, the later its turn can be.
func (s *Schedule) startDelay(predecessors int) time.Duration {
	if predecessors < smallZoneSize {
		return min(time.Duration(predecessors)*rankDelay, maxRankDelay)
	}
	if s.turn == 0 {
		s.turn = s.Random()
	}
	return maxRankDelay + time.Duration(s.turn*float64(predecessors-smallZoneSize+1)*float64(turnInterval))
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
