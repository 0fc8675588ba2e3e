package composer

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// catchUp bounds the time in which a starting instance asks its peers.
	catchUp = 500 * time.Millisecond
	// platformFirst is how long a starting instance waits for its first read of the
	// platform to end before it asks peers for documents, which are large and may come
	// from other zones. Some sixty pages of 3,000 targets take half a second; a call
	// that fails ends the wait.
	platformFirst = 1500 * time.Millisecond
	// trust is how long a starting instance waits for the platform, or for a peer
	// that vouches, before it serves by documents of peers alone.
	trust = 2500 * time.Millisecond
	// readyEvery is the time between two looks whether a starting instance is ready.
	readyEvery = 5 * time.Millisecond
)

// enter makes the instance ready once its documents can be relied on.
func (i *Instance) enter(ctx context.Context) error {
	go i.askPeers(ctx)
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for !i.settled(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	i.ready.Store(true)
	_ = level.Info(i.options.Logger).Log("msg", "ready", "after", time.Since(i.began),
		"settings", i.tables.Stamp(), "targets", i.lists.Stamp())
	<-ctx.Done()
	return nil
}

// askPeers takes in what peers know: documents, in case the platform is out of
// reach, and rumors.
func (i *Instance) askPeers(ctx context.Context) {
	i.awaitPlatform(ctx)
	ctx, cancel := context.WithTimeout(ctx, catchUp)
	defer cancel()
	reached := i.relayer.Catchup(ctx, nil)
	i.caughtUp.Store(reached > 0)
	_ = level.Info(i.options.Logger).Log("msg", "peers asked", "reached", reached)
}

// awaitPlatform returns once the first call to the platform has ended, or after
// platformFirst.
func (i *Instance) awaitPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformFirst)
	defer cancel()
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for i.syncer.CurrentAsOf().IsZero() && !i.syncer.PlatformUnreachable() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// settled reports whether the documents are known to be current, or as current
// as can be had while the platform is out of reach.
func (i *Instance) settled(now time.Time) bool {
	if i.tables.Current() == nil || i.lists.Current() == nil {
		return false
	}
	return !i.syncer.CurrentAsOf().IsZero() || i.caughtUp.Load() && i.syncer.PlatformUnreachable() || now.Sub(i.began) > trust
}
