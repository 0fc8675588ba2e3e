package assembler

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
)

const (
	// catchupTimeout bounds the time in which a starting instance asks its peers for
	// their documents and rumors. The start continues without the peers that have not
	// responded by then.
	catchupTimeout = 2 * time.Second
	// joinTimeout bounds the time for which a starting instance waits until it knows
	// another member. The start continues without one afterwards.
	joinTimeout = 2 * time.Second
	// pollPeriod is the time between two checks of a condition at start or stop.
	pollPeriod = 20 * time.Millisecond
	// propagationTime is the time after which all instances have learned of a change,
	// such as that an instance is leaving or that a target has another owner.
	propagationTime = 3 * time.Second
	// responseWriteTime bounds the writing of a response that arrived at the deadline
	// of its request.
	responseWriteTime = 10 * time.Second
	// readHeaderTimeout bounds the reading of the header of a request, so that a slow
	// client cannot hold a connection for longer.
	readHeaderTimeout = 10 * time.Second
)

// lifecycle starts the server for callers and stops it in an orderly way.
type lifecycle struct {
	instance *Instance
	server   *http.Server
	signals  chan os.Signal
	// done is closed to stop without a graceful shutdown.
	done chan struct{}
}

func newLifecycle(i *Instance) *lifecycle {
	l := &lifecycle{
		instance: i,
		server:   &http.Server{Handler: i.callers().Router(), ReadHeaderTimeout: readHeaderTimeout},
		signals:  make(chan os.Signal, 1),
		done:     make(chan struct{}),
	}
	signal.Notify(l.signals, os.Interrupt, syscall.SIGTERM)
	return l
}

// run serves callers once the instance is prepared. It returns after a signal and the
// graceful shutdown, after stop, or when the server fails.
func (l *lifecycle) run() error {
	i := l.instance
	if !l.prepare() {
		return nil
	}
	listener, err := net.Listen("tcp", i.options.Address.String())
	if err != nil {
		return trace.Wrap(err, "cannot listen on %s", i.options.Address)
	}
	failed := make(chan error, 1)
	go func() { failed <- l.server.Serve(listener) }()
	i.ready.Store(true)
	_ = level.Info(i.options.Logger).Log("msg", "serving", "version", i.settings.Stamp().Version)
	select {
	case err := <-failed:
		return trace.Wrap(err)
	case <-l.done:
		return nil
	case <-l.signals:
		return trace.Wrap(l.shutDown())
	}
}

// stop stops the server at once.
func (l *lifecycle) stop(error) {
	signal.Stop(l.signals)
	close(l.done)
	l.server.Close()
}

// prepare waits until the instance holds the settings, the list and a plan. It asks
// the peers for their documents as well, because the platform may be stale while the
// peers hold newer ones. It returns false if the instance has to stop.
func (l *lifecycle) prepare() bool {
	i := l.instance
	responded := l.catchUp()
	if !l.await(func() bool { return i.settings.Current() != nil && i.list.Current() != nil }) {
		return false
	}
	if len(i.options.Seeds) == 0 {
		// Without seeds the peers are known only from the list.
		responded = l.catchUp()
	}
	l.awaitMembers(responded)
	i.triggerRefresh()
	return l.await(func() bool { return i.plan.Load() != nil })
}

// awaitMembers waits at most joinTimeout until the instance knows another member,
// because with a partial view it would send callers to instances that are not homes. It
// does not wait if no peer responded, because the instance may be the first one.
func (l *lifecycle) awaitMembers(responded int) {
	if responded == 0 {
		return
	}
	limit := time.Now().Add(joinTimeout)
	l.await(func() bool { return len(l.instance.relayer.Members()) > 0 || time.Now().After(limit) })
}

// catchUp gets newer documents and rumors from the peers. It returns the number of
// peers that responded.
func (l *lifecycle) catchUp() int {
	ctx, cancel := context.WithTimeout(context.Background(), catchupTimeout)
	defer cancel()
	responded := l.instance.relayer.Catchup(ctx, l.instance.list.Current())
	_ = level.Info(l.instance.options.Logger).Log("msg", "catchup", "peers", responded)
	return responded
}

// await waits until a condition is true. It returns false if the instance has to stop
// first.
func (l *lifecycle) await(condition func() bool) bool {
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for !condition() {
		select {
		case <-l.done:
			return false
		case <-l.signals:
			return false
		case <-t.C:
		}
	}
	return true
}

// shutDown stops the instance without aborting a request. The instance announces that
// it leaves, so that new address responses do not name it, and serves until the earlier
// ones have expired. Then it refuses new connections, completes the requests in flight
// and hands its outcomes over.
func (l *lifecycle) shutDown() error {
	i := l.instance
	start := time.Now()
	i.leaving.Store(true)
	i.relayer.StartLeaving(start)
	responsesExpire, _ := i.drainTimes.at(start)
	wait := propagationTime + responsesExpire.Sub(start)
	_ = level.Info(i.options.Logger).Log("msg", "leaving", "wait", wait)
	l.sleep(wait)

	now := time.Now()
	i.operationTable.Close(now)
	_, requestsEnd := i.drainTimes.at(now)
	ctx, cancel := context.WithDeadline(context.Background(), requestsEnd.Add(responseWriteTime))
	defer cancel()
	err := l.server.Shutdown(ctx)
	l.awaitOperations(ctx)
	i.handOverOutcomes()
	i.relayer.FinishLeaving(time.Now())
	_ = level.Info(i.options.Logger).Log("msg", "left", "took", time.Since(start))
	return trace.Wrap(err)
}

// sleep waits for a duration. A second signal ends it early.
func (l *lifecycle) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.done:
	case <-l.signals:
	}
}

// awaitOperations waits until all operations have an outcome and the outcomes of
// those that peers forwarded have been sent.
func (l *lifecycle) awaitOperations(ctx context.Context) {
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for l.instance.operationTable.Stats().Pending > 0 || l.instance.relayer.Executing() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
