package composer

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// catchupTimeout bounds the requests of a starting instance to its peers. Together
	// with firstReadTimeout it is shorter than confirmationTimeout, so the requests end
	// before the instance serves without a confirmation.
	catchupTimeout = 500 * time.Millisecond
	// firstReadTimeout is the time that a starting instance waits for its first read
	// of the platform before it asks peers for documents, which are large and may come
	// from remote zones. A list of 3,000 targets takes some sixty pages and half a
	// second. A call that fails ends the wait.
	firstReadTimeout = 1500 * time.Millisecond
	// confirmationTimeout is the time that a starting instance waits for the platform,
	// or for a peer's confirmation, before it serves with documents that only peers
	// have sent.
	confirmationTimeout = 2500 * time.Millisecond
	// readyCheckInterval is the time between two checks of the conditions that a
	// starting instance waits for.
	readyCheckInterval = 5 * time.Millisecond
)

// becomeReady marks the instance as ready once its documents are usable.
func (i *Instance) becomeReady(ctx context.Context) error {
	go i.askPeers(ctx)
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for !i.documentsUsable(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	i.ready.Store(true)
	_ = level.Info(i.options.Logger).Log("msg", "ready", "after", time.Since(i.startTime),
		"settings", i.tables.Stamp(), "targets", i.lists.Stamp())
	<-ctx.Done()
	return nil
}

// askPeers fetches documents, in case the platform is unreachable, and rumors from
// peers.
func (i *Instance) askPeers(ctx context.Context) {
	i.awaitPlatform(ctx)
	i.platformAwaited.Store(true)
	ctx, cancel := context.WithTimeout(ctx, catchupTimeout)
	defer cancel()
	reached := i.relayer.Catchup(ctx, nil)
	i.caughtUp.Store(reached > 0)
	_ = level.Info(i.options.Logger).Log("msg", "peers asked", "reached", reached)
}

// awaitPlatform returns once the first call to the platform has ended, or after
// firstReadTimeout.
func (i *Instance) awaitPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstReadTimeout)
	defer cancel()
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for i.syncer.CurrentAsOf().IsZero() && !i.syncer.PlatformUnreachable() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// documentsUsable reports whether the instance holds both documents and may serve
// with them: they are known to be current, or the platform is unreachable and a peer
// has sent its documents, or confirmationTimeout has passed.
func (i *Instance) documentsUsable(now time.Time) bool {
	if i.tables.Current() == nil || i.lists.Current() == nil {
		return false
	}
	return !i.syncer.CurrentAsOf().IsZero() || i.caughtUp.Load() && i.syncer.PlatformUnreachable() || now.Sub(i.startTime) > confirmationTimeout
}
