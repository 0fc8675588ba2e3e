package assembler

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/watcher"
)

func (i *Instance) newWatcher() *watcher.Watcher {
	w := &watcher.Watcher{
		Platform: i.options.Platform,
		Self:     i.options.Peer,
		Members:  i.alive,
		Stamp:    i.stamp,
		Offer:    i.read,
		Logger:   i.options.Logger,
		Scope:    i.options.Scope,
	}
	w.Prepare()
	return w
}

// alive returns the peers that are believed alive, this instance included.
func (i *Instance) alive() []netip.AddrPort {
	found := []netip.AddrPort{i.options.Peer}
	for _, m := range i.relayer.Members() {
		if m.State == detector.Alive {
			found = append(found, m.Instance.Peer)
		}
	}
	return found
}

// stamp returns the stamp of the document in force.
func (i *Instance) stamp(k watcher.Kind) adopter.Stamp {
	if k == watcher.Settings {
		return i.settings.Stamp()
	}
	return i.list.Stamp()
}

// read takes a document that the platform has given.
func (i *Instance) read(k watcher.Kind, text []byte, now time.Time) adopter.Verdict {
	if k == watcher.Settings {
		return i.settings.Offer(text, 0, 0, now)
	}
	return i.list.Offer(text, 0, 0, now)
}
