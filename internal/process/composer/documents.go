package composer

import (
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

// checkList decodes a list of targets and returns its revision.
func checkList(text []byte) (*registrar.List, uint64, error) {
	l, err := registrar.Decode(text)
	if err != nil {
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
		return i.lists.Offer(text, 0, 0, now) == adopter.Accepted
	}
	return false
}

// offerTable offers settings that were read from the platform to their adopter.
func (i *Instance) offerTable(t *router.Table, now time.Time) error {
	text, err := t.Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	return i.announceIfAccepted(i.tables.Offer(text, 0, 0, now))
}

// offerList offers a list that was read from the platform to its adopter.
func (i *Instance) offerList(l *registrar.List, now time.Time) error {
	text, err := l.Encode()
	if err != nil {
		return trace.Wrap(err)
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
	// The bound on a cold target depends on its service.
	i.updateTargets(now)
}

func (i *Instance) listChanged(l *registrar.List, s adopter.Stamp, now time.Time) {
	_ = level.Info(i.options.Logger).Log("msg", "targets listed", "version", s, "runs", len(l.Runs), "unsettled", l.MayBeIncomplete)
	changes := i.registrar.Apply(l, now)
	i.updateTargets(now)
	for _, c := range changes {
		i.logZoneChange(c, s)
	}
}

func (i *Instance) logZoneChange(c registrar.ZoneChange, s adopter.Stamp) {
	write := level.Info(log.With(i.options.Logger, "zone", c.Zone, "version", s, "runs", c.Runs, "busy", i.forwarder.RequestsInZones(c.Zone)))
	if c.Emptied {
		_ = write.Log("msg", "zone emptied")
		return
	}
	_ = write.Log("msg", "zone taken back")
}

// warmup returns the slow period of a service's targets by the settings in force.
func (i *Instance) warmup(service string) time.Duration {
	if t := i.tables.Current(); t != nil && t.Service(service) != nil {
		return t.Service(service).Warmup
	}
	return 0
}

// updateTargets passes the runs that the registrar considers usable to the forwarder. Updates
// wait for each other, or an older set could replace a newer one.
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
