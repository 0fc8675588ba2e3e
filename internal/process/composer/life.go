package composer

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/run"
)

const (
	// acceptShare is the part of the grace in which new connections and requests
	// are still taken, for clients that hold an answer that names this instance.
	acceptShare = 0.5
	// exitShare is the part of the grace that is kept free before the kill, for the
	// farewell to the other instances. Users excuse what still runs in the last sixth.
	exitShare = 0.12
	// busyEvery is the time between two looks whether requests are under way.
	busyEvery = 20 * time.Millisecond
)

// addLife adds the part that accepts clients and, once the context ends, leaves.
func (i *Instance) addLife(ctx context.Context, g *run.Group, l net.Listener) {
	stop := make(chan struct{})
	g.Add(func() error {
		err := i.acceptor.Run(l)
		// The other parts run on while the last requests end.
		<-stop
		return err
	}, func(error) { l.Close() })
	g.Add(func() error {
		select {
		case <-ctx.Done():
			i.leave(l)
		case <-stop:
		}
		i.acceptor.Stop()
		return nil
	}, func(error) { close(stop) })
}

// leave ends the instance's work within the grace: it is no longer named to
// clients, serves those that come all the same and asks them to reconnect
// elsewhere, and ends once nothing is under way.
func (i *Instance) leave(l net.Listener) {
	began := time.Now()
	_ = level.Info(i.options.Logger).Log("msg", "stopping", "busy", i.acceptor.PendingRequests(), "connections", i.acceptor.OpenConnections())
	i.leaving.Store(true)
	i.relayer.StartLeaving(began)
	i.acceptor.StartDraining()
	share := func(part float64) time.Duration { return time.Duration(part * float64(i.options.Grace)) }
	last := began.Add(share(1 - exitShare))
	time.Sleep(share(acceptShare))
	l.Close()
	i.acceptor.CloseIdle()
	for i.acceptor.PendingRequests() > 0 && time.Now().Before(last) {
		time.Sleep(busyEvery)
	}
	// The last answers are read before the connections end.
	time.Sleep(busyEvery)
	i.relayer.FinishLeaving(time.Now())
	_ = level.Info(i.options.Logger).Log("msg", "left", "after", time.Since(began), "busy", i.acceptor.PendingRequests())
}
