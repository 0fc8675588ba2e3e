package assembler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/process/watchdog"
)

// renewTimeout bounds the questions of an instance that has been paused. One that
// reaches no peer goes on with what it believes.
const renewTimeout = time.Second

// beat watches for pauses of the process until done is closed.
func (i *Instance) beat(done <-chan struct{}) error {
	t := time.NewTicker(watchdog.HeartbeatPeriod)
	defer t.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-t.C:
		}
		if !i.guard.Heartbeat(time.Now()) {
			i.renew()
		}
	}
}

// renew asks peers for what has changed during a pause.
func (i *Instance) renew() {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	reached := i.relayer.Catchup(ctx, i.list.Current())
	i.apply(time.Now())
	i.guard.Reset(time.Now())
	i.options.Scope.Counter("pauses").Inc(1)
	_ = level.Warn(i.options.Logger).Log("msg", "was paused", "peers", reached)
}
