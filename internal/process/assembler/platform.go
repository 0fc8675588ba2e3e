package assembler

import (
	"net/netip"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/watcher"
)

func (i *Instance) newWatcher() *watcher.Watcher {
	w := &watcher.Watcher{
		Platform:     i.options.PlatformURL,
		Self:         i.options.Peer,
		Members:      i.alive,
		WithPlatform: i.able,
		Stamp:        i.stamp,
		Offer:        i.read,
		Logger:       i.options.Logger,
		Scope:        i.options.Scope,
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

// able returns those members that have not told that they lost the platform.
func (i *Instance) able() []netip.AddrPort {
	now := time.Now()
	i.outages.Range(func(peer, until any) bool {
		if !now.Before(until.(time.Time)) {
			i.outages.CompareAndDelete(peer, until)
		}
		return true
	})
	return slices.DeleteFunc(i.alive(), func(peer netip.AddrPort) bool {
		_, told := i.outages.Load(peer)
		return told
	})
}

// outagePeriod is the time between two words of an outage that lasts.
const outagePeriod = 10 * time.Second

// tellOutage tells peers while the platform is out of reach, so that others
// become readers, until done is closed.
func (i *Instance) tellOutage(w *watcher.Watcher, done <-chan struct{}) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	var told time.Time
	for {
		select {
		case <-done:
			return nil
		case now := <-t.C:
			if !w.PlatformLost() || now.Sub(told) < outagePeriod {
				continue
			}
			told = now
			i.outages.Store(i.options.Peer, now.Add(relayer.Outage.TTL()))
			i.relayer.Spread(relayer.Rumor{Topic: relayer.Outage, Instance: i.options.Peer}, now)
		}
	}
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
