package executor

import (
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
	"oriolecourse.example/oriolecourse/internal/standin/verifier"
)

// executorPair is two executors. Callers send each operation to either of them, and
// history records what happens.
type executorPair struct {
	variant variant
	// clock is the offset of the current time from replayer.Epoch, in nanoseconds.
	clock  atomic.Int64
	tables [2]atomic.Pointer[Table]
	// effects numbers the executions.
	effects atomic.Int64

	history verifier.History
}

var peers = [2]netip.AddrPort{localPeer, netip.MustParseAddrPort("10.0.0.2:7001")}

func newExecutorPair(v variant) *executorPair {
	p := &executorPair{variant: v}
	for i := range p.tables {
		p.restart(i, 1)
	}
	return p
}

func (p *executorPair) restart(i int, incarnation uint64) {
	limits := sessionLimits
	limits.EpochCapacity = 8
	p.tables[i].Store(New(peers[i], incarnation, limits, p.now()))
}

func (p *executorPair) now() time.Time { return replayer.Epoch.Add(time.Duration(p.clock.Load())) }

// call sends an operation to the receiving instance, which forwards it to the
// executor if that is the other instance. It records the outcome.
func (p *executorPair) call(receiver int, o OperationID, random *rand.Rand) {
	called := time.Now()
	event := verifier.Event{Outcome: Unknown.String()}
	table := p.tables[receiver].Load()
	if p.variant.beforeBegin != nil {
		table.mu.Lock()
		p.variant.beforeBegin(table)
		table.mu.Unlock()
	}
	d := table.Begin(o, 0, p.now().Add(2*time.Second), p.now())
	if d.Action == Foreign {
		receiver = 1 - receiver
		table = p.tables[receiver].Load()
		d = table.Begin(o, 0, p.now().Add(2*time.Second), p.now())
	}
	switch d.Action {
	case Run:
		event = p.run(table, d.Record, random)
	case Wait:
		event = p.wait(d.Record, event, random)
	case NeverExecuted:
		event.Outcome = NotExecuted.String()
	}
	p.history.Add(o.String(), event, called, time.Now())
}

// run handles the operation of a new record. At random it is not sent, or its
// outcome is recorded as Unknown after it was sent.
func (p *executorPair) run(table *Table, r *Record, random *rand.Rand) verifier.Event {
	yield(random)
	outcome := Outcome{Result: NotExecuted}
	if random.Intn(4) > 0 && table.MarkSent(r, p.now()) {
		called := time.Now()
		effect := int(p.effects.Add(1))
		p.history.Add(r.Operation.String(), verifier.Event{Run: strconv.Itoa(effect)}, called, time.Now())
		outcome = Outcome{Result: Done, Status: effect}
		if random.Intn(8) == 0 {
			outcome = Outcome{Result: Unknown}
		}
	}
	yield(random)
	table.Finish(r, outcome, p.now())
	if p.variant.afterFinish != nil {
		table.mu.Lock()
		p.variant.afterFinish(table, r)
		table.mu.Unlock()
	}
	return callerEvent(r.Outcome())
}

// callerEvent returns the event that a caller sees for an outcome. The response of
// another operation can cause a response to be dropped, even before the caller that
// ran the operation has read it.
func callerEvent(o *Outcome) verifier.Event {
	if o.Dropped {
		return verifier.Event{Outcome: Unknown.String()}
	}
	return verifier.Event{Outcome: o.Result.String(), ResponseRun: strconv.Itoa(o.Status)}
}

// wait waits for the outcome. It gives up at random, like a caller whose deadline
// passes, and then returns timedOut.
func (p *executorPair) wait(r *Record, timedOut verifier.Event, random *rand.Rand) verifier.Event {
	if random.Intn(4) == 0 {
		return timedOut
	}
	<-r.Done()
	return callerEvent(r.Outcome())
}

// yield lets other goroutines run, a random number of times.
func yield(random *rand.Rand) {
	for range random.Intn(20) {
		runtime.Gosched()
	}
}

// callerCount callers run concurrently and make callsPerCaller calls each. They share
// their ids.
const (
	callerCount    = 6
	callsPerCaller = 150
)

// recordHistory runs concurrent callers while the clock jumps and executors
// restart, and checks the recorded history.
func recordHistory(v variant, seed int64) error {
	p := newExecutorPair(v)
	var ids [4]atomic.Pointer[OperationID]
	var wait sync.WaitGroup
	for client := range callerCount {
		wait.Add(1)
		go func() {
			defer wait.Done()
			random := rand.New(rand.NewSource(seed*100 + int64(client)))
			for i := range callsPerCaller {
				slot := &ids[random.Intn(len(ids))]
				o := slot.Load()
				if o == nil || random.Intn(6) == 0 {
					token, ok := p.tables[random.Intn(2)].Load().Token(p.now())
					if !ok {
						p.clock.Add(int64(time.Second))
						continue
					}
					o = &OperationID{Token: token, Part: fmt.Sprintf("c%d-%d", client, i)}
					slot.Store(o)
				}
				p.call(random.Intn(2), *o, random)
				if random.Intn(10) == 0 {
					p.clock.Add(int64(time.Duration(random.Intn(3000)) * time.Millisecond))
				}
				if random.Intn(100) == 0 {
					// No two restarts get the same incarnation; newExecutorPair uses 1.
					p.restart(random.Intn(2), uint64(2+client*callsPerCaller+i))
				}
			}
		}()
	}
	wait.Wait()
	return p.history.Check()
}

// TestHistoriesAreAtMostOnce guards against an operation that runs twice, or that
// runs although a caller was told that it did not, when callers send the same ids
// concurrently.
func TestHistoriesAreAtMostOnce(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		if err := recordHistory(variant{}, seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestHistoriesOfBrokenTablesAreRejected checks that the check of histories finds
// faults that are built into the table on purpose.
func TestHistoriesOfBrokenTablesAreRejected(t *testing.T) {
	for title, v := range map[string]variant{
		"forgets before sealing":                             forgetsBeforeSealing,
		"drops records of operations that were not executed": dropsNotExecuted,
	} {
		found := 0
		for seed := int64(1); seed <= 10; seed++ {
			// The check also fails when it runs out of time, which does not count as found.
			if err := recordHistory(v, seed); err != nil && strings.HasSuffix(err.Error(), "Illegal") {
				found++
			}
		}
		t.Logf("%s: the fault was found in %d of 10 histories", title, found)
		if found == 0 {
			t.Errorf("%s: the fault was not found", title)
		}
	}
}
