package composer

import (
	"context"
	"math"
	"slices"
	"syscall"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/assessor"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/director"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
)

// serve serves a request of a client and counts it.
func (i *Instance) serve(ctx context.Context, q *acceptor.Request) *acceptor.Response {
	defer i.requests.Add(1)
	return i.forwarder.Serve(ctx, q)
}

// assess measures the costs of requests and how choked this instance is, and tells the
// other instances.
func (i *Instance) assess(now time.Time) {
	i.assessor.Record(assessor.Usage{
		Requests: i.requests.Load(), Bytes: i.acceptor.BytesWritten(), CPU: processorTime(),
	}, now)
	ease := i.assessor.Ease()
	if ease != i.facts.Ease || ease < 1 && now.Sub(i.toldAt) >= assessor.EaseInterval {
		i.facts.Ease, i.toldAt = ease, now
		i.facts.Report++
	}
	i.fleet.Record(assessor.Incarnation{Peer: i.self.Peer, Number: i.incarnation}, told(i.facts), now)
	i.relayer.SetFacts(i.facts)
	members := append(slices.Clone(i.relayer.Members()), i.relayer.Self())
	members = slices.DeleteFunc(members, func(m detector.Member) bool { return m.State == detector.Ended })
	i.weight.Store(math.Float64bits(director.Relative(i.weigh(members), len(members)-1)))
}

// processorTime returns the processor time of the process, or 0 if the kernel does not
// report it.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func told(f relayer.Facts) assessor.Told {
	return assessor.Told{Resources: assessor.Resources{Cores: f.Cores, Link: f.LinkRate}, Ease: f.Ease}
}

// receiveFacts records what a peer tells about itself.
func (i *Instance) receiveFacts(peer framer.Identity, f relayer.Facts, now time.Time) {
	i.fleet.Record(assessor.Incarnation{Peer: peer.Peer, Number: peer.Incarnation}, told(f), now)
}

// weigh returns how many requests members can carry, relative to each other.
func (i *Instance) weigh(members []detector.Member) []float64 {
	all := make([]assessor.Incarnation, len(members))
	for k, m := range members {
		all[k] = assessor.Incarnation{Peer: m.Instance.Peer, Number: m.Incarnation}
	}
	return i.fleet.Weights(all, i.assessor.Costs(), time.Now())
}

// forgetFacts removes what incarnations have told that have ended.
func (i *Instance) forgetFacts(changes []detector.Change) {
	for _, c := range changes {
		if c.Member.State == detector.Ended {
			i.fleet.Forget(assessor.Incarnation{Peer: c.Member.Instance.Peer, Number: c.Member.Incarnation})
		}
	}
}
