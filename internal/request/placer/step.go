package placer

import (
	"math"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

// Step starts and rejects the requests that can be decided now, and begins a round
// of probes if one is due.
func (p *Placer) Step(now time.Time) Actions {
	a := Actions{}
	p.dropOldStarts(now)
	p.sortWaiting(now)
	p.idempotent.valid, p.nonIdempotent.valid = false, false
	kept := p.waiting[:0]
	awaiting := false
	for rank, t := range p.waiting {
		usable := p.usable(t, now)
		if !awaiting {
			g, ok, awaits := p.choose(t, usable, now)
			if ok {
				a.Grants = append(a.Grants, g)
				continue
			}
			// A target that a more urgent request may still choose is not given to
			// a less urgent one.
			awaiting = awaits
		}
		if r, rejected := p.reject(t, usable, rank-len(a.Grants)-len(a.Rejections), now); rejected {
			a.Rejections = append(a.Rejections, r)
			continue
		}
		kept = append(kept, t)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	a.Deferrals, p.deferrals = p.deferrals, nil
	if len(kept) == 0 {
		return a
	}
	p.startRound(&a, now)
	a.NextStep = p.nextRound(now)
	return a
}

// sortWaiting sorts the waiting requests. Requests that can still meet their
// objective come first, ordered by the latest start that meets it; the others
// follow, ordered by the latest start that meets their deadline. Each priority has a
// head start over the next.
func (p *Placer) sortWaiting(now time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *Ticket) int {
		missesA, missesB := now.After(p.latestStart(a)), now.After(p.latestStart(b))
		if missesA != missesB {
			if missesB {
				return -1
			}
			return 1
		}
		return p.sortKey(a, missesA, now).Compare(p.sortKey(b, missesB, now))
	})
}

// sortKey returns the time by which a request is sorted.
func (p *Placer) sortKey(t *Ticket, missesObjective bool, now time.Time) time.Time {
	due := p.latestStart(t)
	if missesObjective {
		due = t.Deadline.Add(-p.workTime(t))
	}
	if now.Sub(t.Arrived) > agingDelay {
		return due
	}
	return due.Add(time.Duration(t.Priority) * priorityStep)
}

// choose starts a request at one of the candidates if one is fast enough. If one
// is, but a faster target may still report, it starts nothing and awaits is true. A
// faster target may report while a probe or search is outstanding, and before the
// request's first round of probes unless probes are denied.
func (p *Placer) choose(t *Ticket, usable *candidates, now time.Time) (g Grant, ok, awaits bool) {
	best, slowdown := p.bestTarget(t, usable, now)
	if best == nil {
		return Grant{}, false, false
	}
	expected := time.Duration(slowdown * float64(p.workTime(t)))
	ends := now.Add(expected)
	missesObjective := now.After(p.latestStart(t))
	switch {
	case t.endsWithStop && now.After(t.lastStart(expected)),
		!missesObjective && ends.After(t.ObjectiveTime), missesObjective && (slowdown > maxSlowdownPastObjective || ends.After(t.Deadline)):
		return Grant{}, false, false
	case slowdown > immediateSlowdown && (p.awaitsReport(usable, now) || t.rounds == 0 && !p.probesDenied):
		return Grant{}, false, true
	}
	g = Grant{
		Ticket: t, Target: best.Target, Expected: expected, ReportAge: now.Sub(best.reportedAt),
		ActiveRequests: best.activeRequests(now), MissesObjective: missesObjective, Remote: !p.isLocal(best),
	}
	t.slowdown = slowdown
	best.running[t] = now
	p.starts = append(p.starts, now)
	p.rationer.Start(p.rationed(t), now)
	return g, true, false
}

// bestTarget returns the target with a free slot and the least slowdown, and that
// slowdown. It draws at random among about equal targets, so that a new target gets
// its share, and prefers local targets. Without reports all targets count as equal.
func (p *Placer) bestTarget(t *Ticket, usable *candidates, now time.Time) (*targetState, float64) {
	age := freshReportAge
	if p.probesDenied && !p.needsRoom(t, now) {
		// The request waits for a newer report for as long as this one was old on its
		// arrival.
		age = min(max(2*now.Sub(t.Arrived), freshReportAge), staleReportAge)
	}
	noReports := p.noReports(t, usable, now) && !p.needsRoom(t, now)
	standing := p.standing(t, now)
	free, reported := p.free[:0], usable.reported
	if noReports {
		reported = usable.targets
	}
	for _, s := range reported {
		switch {
		case !noReports && !s.fresh(now, age) || !s.hasFreeSlot(now):
		case s.hasRoom(standing, now):
			free = append(free, s)
		default:
			p.recordDeferral(t, standing)
		}
	}
	p.free = free
	free = p.prefer(t, free, usable, now)
	free = preferAccepting(free, now)
	least := math.Inf(1)
	for _, s := range free {
		least = min(least, s.slowdown(now))
	}
	free = slices.DeleteFunc(free, func(s *targetState) bool { return !noReports && s.slowdown(now) > equalRatio*least })
	if len(free) == 0 {
		return nil, 0
	}
	if slices.ContainsFunc(free, p.isLocal) {
		free = slices.DeleteFunc(free, func(s *targetState) bool { return !p.isLocal(s) })
	}
	s := free[int(p.Random()*float64(len(free)))]
	return s, s.slowdown(now)
}

// isLocal reports whether a target is in the zone of this instance.
func (p *Placer) isLocal(s *targetState) bool { return s.Zone == p.Zone }

// noReports reports whether no target has reported its load for some time although
// probes were sent for the request: the health endpoint or the network is broken.
func (p *Placer) noReports(t *Ticket, usable *candidates, now time.Time) bool {
	return t.rounds >= noReportRounds && now.Sub(p.lastReport) > staleReportAge && !p.awaitsReport(usable, now)
}

// awaitsReport reports whether a probe of one of the candidates or a search in a remote
// zone is outstanding.
func (p *Placer) awaitsReport(c *candidates, now time.Time) bool {
	return c.awaited || p.awaitsSearch(now)
}

// startRound begins a round of probes if one is due. The round is for the first
// waiting request, the most urgent one.
func (p *Placer) startRound(a *Actions, now time.Time) {
	t := p.waiting[0]
	// Until a round has begun since the request arrived, one is due at once.
	roundBegan := p.lastRound.After(t.Arrived) || t.rounds > 0
	c := p.usable(t, now)
	// A short round is followed by the next one as soon as all its reports are in.
	if roundBegan && now.Sub(p.lastRound) < probeInterval && (!p.isShort || c.awaited) {
		return
	}
	local, remote := p.probeCandidates(c, now)
	fanout := localFanout
	if t.rounds < shortRounds && !t.Hedge {
		fanout = p.shortFanout()
	}
	targets := p.drawLocal(local, fanout, t.rounds == 0, now)
	if p.coversRemote(t, len(targets), now) {
		zones, direct := p.planSearch(remote, now)
		targets = append(targets, direct...)
		for _, z := range zones {
			p.searches[z] = now
		}
		a.SearchZones = zones
	}
	a.Probes = p.probe(targets, now)
	p.probesDenied = len(a.Probes) == 0 && len(targets) > 0
	p.isShort = fanout < min(localFanout, len(local)) && len(a.Probes) > 0
	p.lastRound = now
	for _, w := range p.waiting {
		w.rounds++
	}
}

// coversRemote reports whether a round for a request also covers remote zones.
// localProbes is the number of local targets that the round probes.
func (p *Placer) coversRemote(t *Ticket, localProbes int, now time.Time) bool {
	switch {
	case t.Hedge || !p.usable(t, now).hasLocal:
		return true
	case now.Sub(t.Arrived) < time.Duration(p.LocalWait*float64(t.LatencyObjective-p.workTime(t))):
		return false
	case localProbes < 2:
		return true
	}
	return t.rounds >= localRounds && t.rounds%2 == 0 && !now.After(p.latestStart(t))
}

// probe marks as many of the targets as AllowProbes grants as probed and returns
// them.
func (p *Placer) probe(targets []*targetState, now time.Time) []Target {
	var probed []Target
	for _, s := range targets[:p.AllowProbes(len(targets), now)] {
		s.probeSent = now
		probed = append(probed, s.Target)
	}
	return probed
}

// probeCandidates returns the local and the remote candidates that may have a free slot,
// that have no outstanding probe and that are not known to answer probes without
// reporting load.
func (p *Placer) probeCandidates(c *candidates, now time.Time) (local, remote []*targetState) {
	for _, s := range c.targets {
		switch {
		case !s.admission.Admit(admitter.Probe, now).Admitted || s.answeredWithoutLoad || len(s.running) >= s.Slots || s.isAwaited(now):
		case s.fresh(now, freshReportAge) && !s.hasFreeSlot(now):
		case p.isLocal(s):
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	}
	return local, remote
}

// drawLocal draws up to fanout local targets to probe in a round. It prefers targets that have
// reported within openConnectionAge, to which connections are open. It includes at least
// one other target, if there is any, in all rounds of a request but the first, and in a
// part of the first rounds: one that has never reported if possible.
func (p *Placer) drawLocal(local []*targetState, fanout int, firstRound bool, now time.Time) []*targetState {
	var connected, unconnected, unknown []*targetState
	for _, s := range local {
		switch {
		case !s.reportsLoad:
			unknown = append(unknown, s)
		case now.Sub(s.reportedAt) < openConnectionAge:
			connected = append(connected, s)
		default:
			unconnected = append(unconnected, s)
		}
	}
	explored := 1
	if firstRound && p.Random() >= exploreShare {
		explored = 0
	}
	explored = max(explored, fanout-len(connected))
	drawn := draw(p.Random, unknown, explored)
	drawn = append(drawn, draw(p.Random, unconnected, explored-len(drawn))...)
	return append(drawn, draw(p.Random, connected, fanout-len(drawn))...)
}

// draw returns up to limit random elements of from. It reorders from.
func draw[T any](random func() float64, from []T, limit int) []T {
	n := min(limit, len(from))
	for i := range n {
		j := i + int(random()*float64(len(from)-i))
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// nextRound returns when the next round of probes is due.
func (p *Placer) nextRound(now time.Time) time.Time {
	next := p.lastRound.Add(probeInterval)
	if !next.After(now) {
		next = now.Add(probeInterval)
	}
	return next
}
