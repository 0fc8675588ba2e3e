package composer

import (
	"maps"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

// checkTable decodes the settings and returns their version.
func checkTable(text []byte) (*router.Table, uint64, error) {
	t, err := router.Decode(text)
	if err != nil {
		return nil, 0, err
	}
	return t, t.Version, nil
}

// checkList decodes a list of targets and returns its revision. A list of an earlier era of
// the platform's store than is known has a fault.
func (i *Instance) checkList(text []byte) (*registrar.List, uint64, error) {
	l, err := registrar.Decode(text)
	if err != nil {
		return nil, 0, err
	}
	if err := i.numbering.Check(l); err != nil {
		return nil, 0, err
	}
	return l, l.Revision, nil
}

// document returns the encoded document in force, for the other instances.
func (i *Instance) document(k relayer.DocumentKind) (version, digest uint64, text []byte) {
	var s adopter.Stamp
	switch k {
	case relayer.Settings:
		text, s = i.tables.Text()
	case relayer.List:
		text, s = i.lists.Text()
	}
	return s.Version, s.Digest, text
}

// offerDocument offers a document of a peer to its adopter and reports whether the
// document came into force.
func (i *Instance) offerDocument(k relayer.DocumentKind, text []byte, now time.Time) bool {
	switch k {
	case relayer.Settings:
		return i.tables.Offer(text, 0, 0, now) == adopter.Accepted
	case relayer.List:
		held := i.lists.Current()
		v := i.lists.Offer(text, 0, 0, now)
		i.renumberList(held, now)
		return v == adopter.Accepted
	}
	return false
}

// renumberList offers a list that was in force again if it has a higher revision by what the
// offer of another list has shown. It may be newer than that one.
func (i *Instance) renumberList(held *registrar.List, now time.Time) {
	if held == nil {
		return
	}
	l := i.numbering.Renumbered(held)
	if l == nil {
		return
	}
	if err := i.offerNumbered(l, now); err != nil {
		_ = level.Error(i.options.Logger).Log("msg", "document rejected", "version", i.lists.Stamp(), "err", err)
	}
}

// offerTable offers settings that were read from the platform to their adopter.
func (i *Instance) offerTable(t *router.Table, now time.Time) error {
	text, err := t.Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	return i.announceIfAccepted(i.tables.Offer(text, 0, 0, now))
}

// listRank is the rank of lists that name the emptied zones.
const listRank = 1

// offerList offers a list that was read from the platform to its adopter.
func (i *Instance) offerList(l *registrar.List, now time.Time) error {
	if err := i.numbering.Number(l); err != nil {
		return trace.Wrap(err)
	}
	return i.offerNumbered(l, now)
}

func (i *Instance) offerNumbered(l *registrar.List, now time.Time) error {
	text, err := l.Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	if i.besideEarlierBuilds() {
		text = adopter.Rank(text, listRank)
	}
	return i.announceIfAccepted(i.lists.Offer(text, 0, 0, now))
}

// announceIfAccepted announces an accepted document to the peers. It returns an error
// for a rejected one.
func (i *Instance) announceIfAccepted(v adopter.Verdict) error {
	switch v {
	case adopter.Accepted:
		i.relayer.Announce()
	case adopter.Rejected:
		return trace.BadParameter("a document from the platform was rejected; the log line \"document rejected\" has the reason")
	}
	return nil
}

func (i *Instance) tableChanged(t *router.Table, s adopter.Stamp, now time.Time) {
	_ = level.Info(i.options.Logger).Log("msg", "settings in force", "version", s, "routes", len(t.Routes), "services", len(t.Services))
	// The bound on a cold target depends on its service. Nothing else of the targets depends on
	// the settings, and these may change several times a second.
	rates := t.WarmupRates()
	if !maps.Equal(rates, i.warmupRates) {
		i.warmupRates = rates
		i.updateTargets(now)
	}
}

func (i *Instance) listChanged(l *registrar.List, s adopter.Stamp, now time.Time) {
	_ = level.Info(i.options.Logger).Log("msg", "targets listed", "version", s, "runs", len(l.Runs), "unsettled", l.MayBeIncomplete, "grace", l.Grace, "dropped", l.Dropped)
	changes := i.registrar.Apply(l, now)
	i.updateTargets(now)
	i.wakeMaintain()
	i.logZoneChanges(changes, s)
}

func (i *Instance) logZoneChanges(changes []registrar.ZoneChange, s adopter.Stamp) {
	for _, c := range changes {
		write := level.Info(log.With(i.options.Logger, "zone", c.Zone, "version", s, "runs", c.Runs, "busy", i.forwarder.RequestsInZones(c.Zone)))
		if c.Emptied {
			_ = write.Log("msg", "zone emptied")
		} else {
			_ = write.Log("msg", "zone taken back")
		}
	}
}

// warmup returns the slow period of a service's targets by the settings in force.
func (i *Instance) warmup(service string) time.Duration {
	if t := i.tables.Current(); t != nil && t.Service(service) != nil {
		return t.Service(service).Warmup
	}
	return 0
}

// updateTargets passes the runs that the registrar considers usable to the forwarder.
func (i *Instance) updateTargets(now time.Time) {
	i.targetsMutex.Lock()
	defer i.targetsMutex.Unlock()
	i.forwarder.SetTargets(i.registrar.Usable(), now)
}

func (i *Instance) documentRejected(r adopter.Rejection) {
	_ = level.Error(i.options.Logger).Log("msg", "document rejected", "version", r.Stamp, "err", r.Reason)
}

func (i *Instance) runChanged(c registrar.Change) {
	_ = level.Info(i.options.Logger).Log("msg", "target changed", "target", c.Run.Key(), "service", c.Run.Service,
		"address", c.Run.Address, "zone", c.Run.Zone, "state", c.State, "before", c.Previous, "new", c.New, "cause", c.Cause)
}
