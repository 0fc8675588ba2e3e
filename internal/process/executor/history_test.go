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

	"oriolecourse.example/oriolecourse/internal/standin/historian"
	"oriolecourse.example/oriolecourse/internal/standin/narrator"
)

// executorPair is two executors. Callers send each operation to either of them, and
// history records what happens.
type executorPair struct {
	variant variant
	// clock is the offset of the current time from narrator.Epoch, in nanoseconds.
	clock   atomic.Int64
	tables  [2]atomic.Pointer[Table]
	effects atomic.Int64

	history historian.History
}

var peers = [2]netip.AddrPort{localPeer, netip.MustParseAddrPort("10.0.0.2:7001")}

func newExecutorPair(v variant) *executorPair {
	f := &executorPair{variant: v}
	for i := range f.tables {
		f.restart(i, 1)
	}
	return f
}

func (f *executorPair) restart(i int, incarnation uint64) {
	limits := sessionLimits
	limits.EpochCapacity = 8
	f.tables[i].Store(New(peers[i], incarnation, limits, f.now()))
}

func (f *executorPair) now() time.Time { return narrator.Epoch.Add(time.Duration(f.clock.Load())) }

// call sends an operation to the receiving instance, which forwards it to the
// executor if that is the other instance. It records the outcome.
func (f *executorPair) call(receiver int, o OperationID, random *rand.Rand) {
	called := time.Now()
	event := historian.Event{Outcome: Unknown.String()}
	table := f.tables[receiver].Load()
	if f.variant.beforeBegin != nil {
		table.mu.Lock()
		f.variant.beforeBegin(table)
		table.mu.Unlock()
	}
	v := table.Begin(o, 0, f.now().Add(2*time.Second), f.now())
	if v.Action == Foreign {
		receiver = 1 - receiver
		table = f.tables[receiver].Load()
		v = table.Begin(o, 0, f.now().Add(2*time.Second), f.now())
	}
	switch v.Action {
	case Run:
		event = f.run(table, v.Record, random)
	case Wait:
		event = f.wait(v.Record, event, random)
	case NeverExecuted:
		event.Outcome = NotExecuted.String()
	}
	f.history.Add(o.String(), event, called, time.Now())
}

// run handles the operation of a new record. At random it is not sent, or its
// outcome is recorded as Unknown after it was sent.
func (f *executorPair) run(table *Table, r *Record, random *rand.Rand) historian.Event {
	yield(random)
	outcome := Outcome{Result: NotExecuted}
	if random.Intn(4) > 0 && table.Send(r, f.now()) {
		called := time.Now()
		effect := int(f.effects.Add(1))
		f.history.Add(r.Operation.String(), historian.Event{Run: strconv.Itoa(effect)}, called, time.Now())
		outcome = Outcome{Result: Done, Status: effect}
		if random.Intn(8) == 0 {
			outcome = Outcome{Result: Unknown}
		}
	}
	yield(random)
	table.Finish(r, outcome, f.now())
	if f.variant.afterFinish != nil {
		table.mu.Lock()
		f.variant.afterFinish(table, r)
		table.mu.Unlock()
	}
	return callerEvent(r.Outcome())
}

// callerEvent returns the event that a caller sees for an outcome. The response of
// another operation can cause a response to be dropped, even before the caller that
// ran the operation has read it.
func callerEvent(o *Outcome) historian.Event {
	if o.Dropped {
		return historian.Event{Outcome: Unknown.String()}
	}
	return historian.Event{Outcome: o.Result.String(), Answer: strconv.Itoa(o.Status)}
}

// wait waits for the outcome. It gives up at random, like a caller whose deadline
// passes, and then returns timedOut.
func (f *executorPair) wait(r *Record, timedOut historian.Event, random *rand.Rand) historian.Event {
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

// The callers run concurrently and share their ids.
const (
	callerCount    = 6
	callsPerCaller = 150
)

// recordHistory runs concurrent callers while the clock jumps and executors
// restart, and checks the recorded history.
func recordHistory(v variant, seed int64) error {
	f := newExecutorPair(v)
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
					token, ok := f.tables[random.Intn(2)].Load().Token(f.now())
					if !ok {
						f.clock.Add(int64(time.Second))
						continue
					}
					o = &OperationID{Token: token, Part: fmt.Sprintf("c%d-%d", client, i)}
					slot.Store(o)
				}
				f.call(random.Intn(2), *o, random)
				if random.Intn(10) == 0 {
					f.clock.Add(int64(time.Duration(random.Intn(3000)) * time.Millisecond))
				}
				if random.Intn(100) == 0 {
					f.restart(random.Intn(2), uint64(2+client*callsPerCaller+i))
				}
			}
		}()
	}
	wait.Wait()
	return f.history.Check()
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
