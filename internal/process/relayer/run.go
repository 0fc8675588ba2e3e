package relayer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// sweepInterval is the time between sweeps of links and rumors.
const sweepInterval = time.Second

// Run accepts connections of peers and runs the failure detector until Stop.
func (r *Relayer) Run() error {
	defer close(r.done)
	listener, err := net.Listen("tcp", r.options.Listen.String())
	if err != nil {
		return trace.Wrap(err, "listening for peers on %s", r.options.Listen)
	}
	defer listener.Close()
	stop := context.AfterFunc(r.context, func() { listener.Close() })
	defer stop()
	r.spawn(r.runDetector)
	r.spawn(r.sweep)
	err = r.accept(listener)
	r.cancel()
	r.pool.closeAll()
	r.tasks.closeAndWait()
	return err
}

// Stop makes Run end. It does not wait for the end.
func (r *Relayer) Stop() { r.cancel() }

// Done is closed when Run has returned.
func (r *Relayer) Done() <-chan struct{} { return r.done }

// tasks holds the goroutines that Run waits for.
type tasks struct {
	mutex  sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// closeAndWait prevents new tasks and waits for the running ones.
func (t *tasks) closeAndWait() {
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	t.group.Wait()
}

// spawn starts a task that Run waits for. It returns false and starts nothing when
// Run is ending.
func (r *Relayer) spawn(task func()) bool {
	r.tasks.mutex.Lock()
	defer r.tasks.mutex.Unlock()
	if r.tasks.closed {
		return false
	}
	r.tasks.group.Go(task)
	return true
}

func (r *Relayer) accept(listener net.Listener) error {
	for {
		socket, err := listener.Accept()
		if r.context.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return trace.Wrap(err)
		}
		if err != nil {
			// The process is out of file descriptors, or the connection was aborted.
			// The next accept may succeed.
			r.sleep(acceptRetryDelay)
			continue
		}
		if !r.spawn(func() { r.pool.accept(socket) }) {
			socket.Close()
		}
	}
}

// acceptRetryDelay is the wait after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

func (r *Relayer) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.context.Done():
	}
}

// runDetector calls the detector's Tick when it is due.
func (r *Relayer) runDetector() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.context.Err() == nil {
		now := time.Now()
		r.step(now, func(d *detector.Detector) []detector.Outgoing { return d.Tick(now) })
		timer.Reset(time.Until(r.nextTick()))
		select {
		case <-timer.C:
		case <-r.detectorWakeup:
		case <-r.context.Done():
		}
	}
}

func (r *Relayer) nextTick() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.NextTick()
}

// step runs one call of the detector, publishes the changes and sends the packets.
func (r *Relayer) step(now time.Time, call func(*detector.Detector) []detector.Outgoing) {
	r.stepVia(nil, now, call)
}

// stepVia is step for a packet that arrived on a link. Responses are sent on the
// same link, so that a link that carries messages in one direction only is detected
// as stalled.
func (r *Relayer) stepVia(via *link, now time.Time, call func(*detector.Detector) []detector.Outgoing) {
	r.mutex.Lock()
	outgoing := call(r.detector)
	r.publishChanges(r.detector.Changes())
	r.mutex.Unlock()
	for _, o := range outgoing {
		r.deliver(via, o, now)
	}
}

// publishChanges updates the membership view, counts the changes, logs those of this
// place and calls Options.OnMembersChange. It does nothing without changes. In a fleet of
// hundreds, a line for each member of each place would hide all other lines.
func (r *Relayer) publishChanges(changes []detector.Change) {
	if len(changes) == 0 {
		return
	}
	members := r.detector.Members()
	r.view.Store(&members)
	for _, c := range changes {
		if c.Member.State == detector.Ended {
			r.peers.remove(c.Member.Instance.Peer, c.Member.Incarnation)
		}
		r.metrics.countChange(c.Member.State)
		if c.Member.Instance.Place != r.options.Self.Place {
			continue
		}
		level.Info(r.options.Logger).Log("msg", "member changed", "peer", c.Member.Instance.Peer,
			"incarnation", c.Member.Incarnation, "state", c.Member.State, "before", c.Before,
			"leaving", c.Member.Leaving, "cut", c.Member.CutOff, "new", c.New)
	}
	if r.options.OnMembersChange != nil {
		r.options.OnMembersChange(members, changes)
	}
}

// deliver sends one packet of the detector, and reports to the detector if that
// fails.
func (r *Relayer) deliver(via *link, o detector.Outgoing, now time.Time) {
	if o.Packet.Type == detector.Ping {
		// The ping timeout may make the next tick due earlier.
		r.wakeDetector()
	}
	r.spawn(func() {
		err := r.sendPacket(via, o, now)
		if err != nil && r.context.Err() == nil {
			later := time.Now()
			r.step(later, func(d *detector.Detector) []detector.Outgoing { return d.SendFailed(o.Packet, later) })
		}
	})
}

func (r *Relayer) wakeDetector() {
	select {
	case r.detectorWakeup <- struct{}{}:
	default:
	}
}

// sweep closes idle and excess links, retires stalled links, and removes expired
// rumors, every sweepInterval.
func (r *Relayer) sweep() {
	for r.context.Err() == nil {
		r.sleep(sweepInterval)
		now := time.Now()
		r.pool.sweep(now)
		r.rumors.sweep(now)
	}
}
