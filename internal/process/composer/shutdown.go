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
	// directory that names it. The rest must be enough to finish them.
	acceptShare = 0.5
	// maxAcceptTime bounds that time in long grace periods. Users accept that a request is
	// cut off in the last sixth of the grace period only if it was sent within three seconds
	// after the signal; the signal and the end of the time may be handled late.
	maxAcceptTime = 2800 * time.Millisecond
	// exitShare is the share of the grace period that is left for the leave messages
	// to the other instances before the process is killed. Users accept that requests
	// in the last sixth of the grace period are cut off. exitShare is smaller than a
	// sixth, so requests may still use a part of that time.
	exitShare = 0.12
	// busyCheckInterval is the time between two checks for requests in progress and for open
	// connections.
	busyCheckInterval = 20 * time.Millisecond
)

// acceptTime returns the part of a grace period in which requests are still read.
func acceptTime(grace time.Duration) time.Duration {
	return min(time.Duration(acceptShare*float64(grace)), maxAcceptTime)
}

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
// naming the instance. For acceptTime, clients that still connect are served and asked to
// connect to another instance. After that, no connection is accepted and no request read;
// one that has arrived in part, or that another instance relays, is rejected, as it might
// not end in time. So is, from the start, one that waits and is not expected to. shutDown
// waits until no request is in progress and clients have received their responses, or until only
// exitShare of the grace period is left.
func (i *Instance) shutDown(l net.Listener) {
	start := time.Now()
	_ = level.Info(i.options.Logger).Log("msg", "stopping", "busy", i.acceptor.PendingRequests(), "connections", i.acceptor.OpenConnections())
	i.leaving.Store(true)
	i.relayer.StartLeaving(start)
	i.acceptor.StartDraining()
	drainDeadline := start.Add(time.Duration((1 - exitShare) * float64(i.options.Grace)))
	i.forwarder.StopAt(drainDeadline, start)
	time.Sleep(acceptTime(i.options.Grace))
	l.Close()
	i.acceptor.StopReading(time.Now())
	i.forwarder.RefuseRequests()
	_ = level.Info(i.options.Logger).Log("msg", "reading ended", "after", time.Since(start), "busy", i.acceptor.PendingRequests(), "connections", i.acceptor.OpenConnections())
	awaitUntil(drainDeadline, func() bool { return i.acceptor.PendingRequests()+i.relayer.Executing() == 0 })
	// A connection stays open until its client has received the last response.
	awaitUntil(drainDeadline, func() bool { return i.acceptor.OpenConnections() == 0 })
	i.relayer.FinishLeaving(time.Now())
	_ = level.Info(i.options.Logger).Log("msg", "left", "after", time.Since(start), "busy", i.acceptor.PendingRequests())
}

// awaitUntil waits until a condition holds or the deadline has passed.
func awaitUntil(deadline time.Time, condition func() bool) {
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(busyCheckInterval)
	}
}
