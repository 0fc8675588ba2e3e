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

// sweepEvery is the time between looks for idle connections and old rumors.
const sweepEvery = time.Second

// Run accepts peers and drives the membership until Stop.
func (r *Relayer) Run() error {
	defer close(r.done)
	listener, err := net.Listen("tcp", r.options.Listen.String())
	if err != nil {
		return trace.Wrap(err, "listening for peers on %s", r.options.Listen)
	}
	defer listener.Close()
	stop := context.AfterFunc(r.context, func() { listener.Close() })
	defer stop()
	r.spawn(r.drive)
	r.spawn(r.sweep)
	err = r.accept(listener)
	r.cancel()
	r.pool.closeAll()
	r.tasks.end()
	return err
}

// Stop ends Run. Done tells when it has ended.
func (r *Relayer) Stop() { r.cancel() }

// Done is closed when Run has returned.
func (r *Relayer) Done() <-chan struct{} { return r.done }

// tasks are the goroutines that Run waits for.
type tasks struct {
	mutex sync.Mutex
	ended bool
	group sync.WaitGroup
}

// end waits for the tasks; later ones are not started.
func (t *tasks) end() {
	t.mutex.Lock()
	t.ended = true
	t.mutex.Unlock()
	t.group.Wait()
}

// spawn runs a task that Run waits for. It reports false when Run has ended.
func (r *Relayer) spawn(task func()) bool {
	r.tasks.mutex.Lock()
	defer r.tasks.mutex.Unlock()
	if r.tasks.ended {
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
			// Out of descriptors or a connection that broke off: later ones may do better.
			r.pause(acceptPause)
			continue
		}
		if !r.spawn(func() { r.pool.accept(socket) }) {
			socket.Close()
		}
	}
}

// acceptPause is the wait after a failed accept.
const acceptPause = 50 * time.Millisecond

func (r *Relayer) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.context.Done():
	}
}

// drive ticks the detector at the times that it asks for.
func (r *Relayer) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.context.Err() == nil {
		now := time.Now()
		r.step(now, func(d *detector.Detector) []detector.Outgoing { return d.Tick(now) })
		timer.Reset(time.Until(r.wake()))
		select {
		case <-timer.C:
		case <-r.kick:
		case <-r.context.Done():
		}
	}
}

func (r *Relayer) wake() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.NextTick()
}

// step makes one decision of the detector and carries it out.
func (r *Relayer) step(now time.Time, decide func(*detector.Detector) []detector.Outgoing) {
	r.stepVia(nil, now, decide)
}

// stepVia is step for what arrived on a link: answers go back on it, so that a
// link that carries pings only one way is seen to stall.
func (r *Relayer) stepVia(via *link, now time.Time, decide func(*detector.Detector) []detector.Outgoing) {
	r.mutex.Lock()
	actions := decide(r.detector)
	r.publish(r.detector.Changes())
	r.mutex.Unlock()
	for _, a := range actions {
		r.deliver(via, a, now)
	}
}

// publish replaces the view after changes and hands it on.
func (r *Relayer) publish(changes []detector.Change) {
	if len(changes) == 0 {
		return
	}
	members := r.detector.Members()
	r.view.Store(&members)
	for _, c := range changes {
		r.traffic.change(c.Member.State)
		level.Info(r.options.Logger).Log("msg", "member changed", "peer", c.Member.Instance.Peer,
			"incarnation", c.Member.Incarnation, "state", c.Member.State, "before", c.Before,
			"leaving", c.Member.Leaving, "new", c.New)
	}
	if r.options.OnMembersChange != nil {
		r.options.OnMembersChange(members, changes)
	}
}

// deliver sends one packet of the detector and reports a ping that cannot be sent.
func (r *Relayer) deliver(via *link, a detector.Outgoing, now time.Time) {
	if a.Packet.Type == detector.Ping {
		r.awaken()
	}
	r.spawn(func() {
		err := r.sendPacket(via, a, now)
		if err != nil && r.context.Err() == nil {
			later := time.Now()
			r.step(later, func(d *detector.Detector) []detector.Outgoing { return d.SendFailed(a.Packet, later) })
		}
	})
}

func (r *Relayer) awaken() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// sweep closes idle connections and drops old rumors.
func (r *Relayer) sweep() {
	for r.context.Err() == nil {
		r.pause(sweepEvery)
		now := time.Now()
		r.pool.sweep(now)
		r.rumors.sweep(now)
	}
}
