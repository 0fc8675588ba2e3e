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

// fleet is two executors and callers that send each operation to either.
type fleet struct {
	variant variant
	// clock is the offset of the present time in nanoseconds.
	clock   atomic.Int64
	tables  [2]atomic.Pointer[Table]
	effects atomic.Int64

	history historian.History
}

var peers = [2]netip.AddrPort{here, netip.MustParseAddrPort("10.0.0.2:7001")}

func newFleet(v variant) *fleet {
	f := &fleet{variant: v}
	for i := range f.tables {
		f.restart(i, 1)
	}
	return f
}

func (f *fleet) restart(i int, incarnation uint64) {
	limits := sessionLimits
	limits.EpochCapacity = 8
	f.tables[i].Store(New(peers[i], incarnation, limits, f.now()))
}

func (f *fleet) now() time.Time { return narrator.Epoch.Add(time.Duration(f.clock.Load())) }

// call sends an operation to an instance, which passes it to its executor.
func (f *fleet) call(entry int, o OperationID, random *rand.Rand) {
	called := time.Now()
	answer := historian.Event{Outcome: Unknown.String()}
	table := f.tables[entry].Load()
	if f.variant.before != nil {
		table.mu.Lock()
		f.variant.before(table)
		table.mu.Unlock()
	}
	v := table.Begin(o, 0, f.now().Add(2*time.Second), f.now())
	if v.Action == Foreign {
		entry = 1 - entry
		table = f.tables[entry].Load()
		v = table.Begin(o, 0, f.now().Add(2*time.Second), f.now())
	}
	switch v.Action {
	case Run:
		answer = f.run(table, v.Record, random)
	case Wait:
		answer = f.wait(v.Record, answer, random)
	case Refused:
		answer.Outcome = NotExecuted.String()
	}
	f.history.Add(o.String(), answer, called, time.Now())
}

func (f *fleet) run(table *Table, r *Record, random *rand.Rand) historian.Event {
	pause(random)
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
	pause(random)
	table.Finish(r, outcome, f.now())
	if f.variant.after != nil {
		table.mu.Lock()
		f.variant.after(table, r)
		table.mu.Unlock()
	}
	return told(r.Outcome())
}

// told returns what a caller is told of an outcome. An answer that is no longer
// kept may be dropped by another caller's, also before the one who ran it reads it.
func told(o *Outcome) historian.Event {
	if o.Dropped {
		return historian.Event{Outcome: Unknown.String()}
	}
	return historian.Event{Outcome: o.Result.String(), Answer: strconv.Itoa(o.Status)}
}

// wait gives up now and then, as a caller whose deadline passes.
func (f *fleet) wait(r *Record, answer historian.Event, random *rand.Rand) historian.Event {
	if random.Intn(4) == 0 {
		return answer
	}
	<-r.Done()
	return told(r.Outcome())
}

func pause(random *rand.Rand) {
	for range random.Intn(20) {
		runtime.Gosched()
	}
}

// callers run at the same time; each shares its ids with the others.
const (
	callers = 6
	calls   = 150
)

// recordHistory runs concurrent callers while the clock jumps and executors
// restart, and checks what was recorded.
func recordHistory(v variant, seed int64) error {
	f := newFleet(v)
	var ids [4]atomic.Pointer[OperationID]
	var wait sync.WaitGroup
	for client := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			random := rand.New(rand.NewSource(seed*100 + int64(client)))
			for i := range calls {
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
					f.restart(random.Intn(2), uint64(2+client*calls+i))
				}
			}
		}()
	}
	wait.Wait()
	return f.history.Check()
}

func TestHistoriesAreAtMostOnce(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		if err := recordHistory(variant{}, seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestHistoriesOfBrokenTablesAreRejected(t *testing.T) {
	for title, v := range map[string]variant{
		"forgets before sealing":    forgetsBeforeSealing,
		"leaves refused unrecorded": leavesRefusedUnrecorded,
	} {
		found := 0
		for seed := int64(1); seed <= 10; seed++ {
			// A search that ran out of time finds nothing.
			if err := recordHistory(v, seed); err != nil && strings.HasSuffix(err.Error(), "Illegal") {
				found++
			}
		}
		t.Logf("%s: found in %d of 10 histories", title, found)
		if found == 0 {
			t.Errorf("%s: not found", title)
		}
	}
}
