package composer

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/run"
)

const (
	// acceptShare is the share of the grace period in which the instance still accepts
	// new connections and requests, because clients may hold a response of the
	// directory that names it.
	acceptShare = 0.5
	// exitShare is the share of the grace period that is left for the leave messages
	// to the other instances before the process is killed. Users accept that requests
	// in the last sixth of the grace period are cut off. exitShare is smaller than a
	// sixth, so requests may still use a part of that time.
	exitShare = 0.12
	// busyCheckInterval is the time between two checks for requests in progress. The
	// last response has as much time to reach its client.
	busyCheckInterval = 20 * time.Millisecond
)

// addAcceptor adds the functions that accept clients and, once the context ends,
// shut the instance down.
func (i *Instance) addAcceptor(ctx context.Context, g *run.Group, l net.Listener) {
	stop := make(chan struct{})
	g.Add(func() error {
		err := i.acceptor.Run(l)
		// The group ends all its functions when one returns. The others must run
		// until the last requests have ended.
		<-stop
		return err
	}, func(error) { l.Close() })
	g.Add(func() error {
		select {
		case <-ctx.Done():
			i.shutDown(l)
		case <-stop:
		}
		i.acceptor.Stop()
		return nil
	}, func(error) { close(stop) })
}

// shutDown ends the instance's work within the grace period. The directory stops
// naming the instance. For acceptShare of the grace period, clients that still connect
// are served and asked to connect to another instance. After that, shutDown accepts no
// connection and waits until no request is in progress, or until only exitShare of the
// grace period is left.
func (i *Instance) shutDown(l net.Listener) {
	start := time.Now()
	_ = level.Info(i.options.Logger).Log("msg", "stopping", "busy", i.acceptor.PendingRequests(), "connections", i.acceptor.OpenConnections())
	i.leaving.Store(true)
	i.relayer.StartLeaving(start)
	i.acceptor.StartDraining()
	share := func(part float64) time.Duration { return time.Duration(part * float64(i.options.Grace)) }
	drainDeadline := start.Add(share(1 - exitShare))
	time.Sleep(share(acceptShare))
	l.Close()
	i.acceptor.CloseIdle()
	for i.acceptor.PendingRequests()+i.relayer.Executing() > 0 && time.Now().Before(drainDeadline) {
		time.Sleep(busyCheckInterval)
	}
	// Clients read the last responses before their connections close.
	time.Sleep(busyCheckInterval)
	i.relayer.FinishLeaving(time.Now())
	_ = level.Info(i.options.Logger).Log("msg", "left", "after", time.Since(start), "busy", i.acceptor.PendingRequests())
}
