package assembler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/process/watchdog"
)

// pauseCatchupTimeout bounds the time in which an instance that was paused asks its
// peers for changes. If it reaches none, it continues with its current state.
const pauseCatchupTimeout = time.Second

// watchPauses detects pauses of the process until done is closed.
func (i *Instance) watchPauses(done <-chan struct{}) error {
	t := time.NewTicker(watchdog.HeartbeatPeriod)
	defer t.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-t.C:
		}
		if !i.watchdog.Heartbeat(time.Now()) {
			i.catchUpAfterPause()
		}
	}
}

// catchUpAfterPause gets the changes that this instance missed in a pause from its
// peers.
func (i *Instance) catchUpAfterPause() {
	ctx, cancel := context.WithTimeout(context.Background(), pauseCatchupTimeout)
	defer cancel()
	responded := i.relayer.Catchup(ctx, i.list.Current())
	i.apply(time.Now())
	i.watchdog.Reset(time.Now())
	i.options.Scope.Counter("pauses").Inc(1)
	_ = level.Warn(i.options.Logger).Log("msg", "was paused", "peers", responded)
}
