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
		Platform:                i.options.PlatformURL,
		Self:                    i.options.Peer,
		Members:                 i.alivePeers,
		MembersReachingPlatform: i.peersWithPlatform,
		Stamp:                   i.documentStamp,
		Offer:                   i.offerPlatformDocument,
		Logger:                  i.options.Logger,
		Scope:                   i.options.Scope,
	}
	w.Prepare()
	return w
}

// alivePeers returns the peer addresses of the alive members, this instance included.
func (i *Instance) alivePeers() []netip.AddrPort {
	peers := []netip.AddrPort{i.options.Peer}
	for _, m := range i.relayer.Members() {
		if m.State == detector.Alive {
			peers = append(peers, m.Instance.Peer)
		}
	}
	return peers
}

// peersWithPlatform returns the alive peers that have not reported that they lost the
// platform. It also removes expired reports.
func (i *Instance) peersWithPlatform() []netip.AddrPort {
	now := time.Now()
	i.platformOutages.Range(func(peer, until any) bool {
		if !now.Before(until.(time.Time)) {
			i.platformOutages.CompareAndDelete(peer, until)
		}
		return true
	})
	return slices.DeleteFunc(i.alivePeers(), func(peer netip.AddrPort) bool {
		_, lost := i.platformOutages.Load(peer)
		return lost
	})
}

// outageRumorPeriod is the time between two rumors about a lasting outage.
const outageRumorPeriod = 10 * time.Second

// spreadOutage spreads rumors while this instance cannot reach the platform, so that
// other instances become readers of it. It checks once per second and returns when done
// is closed.
func (i *Instance) spreadOutage(w *watcher.Watcher, done <-chan struct{}) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	var lastSpread time.Time
	for {
		select {
		case <-done:
			return nil
		case now := <-t.C:
			if !w.PlatformUnreachable() || now.Sub(lastSpread) < outageRumorPeriod {
				continue
			}
			lastSpread = now
			i.platformOutages.Store(i.options.Peer, now.Add(relayer.Outage.TTL()))
			i.relayer.Spread(relayer.Rumor{Topic: relayer.Outage, Instance: i.options.Peer}, now)
		}
	}
}

// documentStamp returns the stamp of the document in force.
func (i *Instance) documentStamp(k watcher.Kind) adopter.Stamp {
	if k == watcher.Settings {
		return i.settings.Stamp()
	}
	return i.list.Stamp()
}

// offerPlatformDocument offers a document that was read from the platform to the
// adopter.
func (i *Instance) offerPlatformDocument(k watcher.Kind, text []byte, now time.Time) adopter.Verdict {
	if k == watcher.Settings {
		return i.settings.Offer(text, 0, 0, now)
	}
	return i.list.Offer(text, 0, 0, now)
}
