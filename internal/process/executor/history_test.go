package executor

import (
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"oriolecourse.example/oriolecourse/internal/standin/narrator"
)

// event is one entry of a history: an effect at the target, or an answer to a caller.
type event struct {
	operation Operation
	// effect is the number of the run at the target, 0 for an answer.
	effect int
	// result and answer are what the caller got.
	result Result
	answer int
}

// state is what must hold for one operation id at one moment.
type state struct {
	// effect is the number of the only run, 0 before it.
	effect int
	// refused means that a caller was told that the operation was not run.
	refused bool
}

// atMostOnce is the sequential model: an id takes effect at most once, never
// after or before an answer "not run", and each answer is that of the only run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[Operation][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(Operation)
			parts[id] = append(parts[id], o)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return state{} },
	Step: func(before, _, output any) (bool, any) {
		s, e := before.(state), output.(event)
		switch {
		case e.effect != 0:
			return s.effect == 0 && !s.refused, state{effect: e.effect}
		case e.result == Done:
			return s.effect == e.answer, s
		case e.result == Unrun:
			return s.effect == 0, state{refused: true}
		}
		return true, s
	},
}

// fleet is two executors and callers that send each operation to either.
type fleet struct {
	variant variant
	// clock is the offset of the present time in nanoseconds.
	clock   atomic.Int64
	tables  [2]atomic.Pointer[Table]
	effects atomic.Int64

	mu      sync.Mutex
	history []porcupine.Operation
	start   time.Time
}

var peers = [2]netip.AddrPort{here, netip.MustParseAddrPort("10.0.0.2:7001")}

func newFleet(v variant) *fleet {
	f := &fleet{variant: v, start: time.Now()}
	for i := range f.tables {
		f.restart(i, 1)
	}
	return f
}

func (f *fleet) restart(i int, incarnation uint64) {
	limits := sessionLimits
	limits.Capacity = 8
	f.tables[i].Store(New(peers[i], incarnation, limits, f.now()))
}

func (f *fleet) now() time.Time { return narrator.Epoch.Add(time.Duration(f.clock.Load())) }

func (f *fleet) record(client int, called time.Duration, e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{
		ClientId: client, Input: e.operation, Output: e,
		Call: int64(called), Return: int64(time.Since(f.start)),
	})
}

// call sends an operation to an instance, which passes it to its executor.
func (f *fleet) call(client, entry int, o Operation, random *rand.Rand) {
	called := time.Since(f.start)
	answer := event{operation: o, result: Unknown}
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
		answer = f.run(client, table, v.Record, random)
	case Wait:
		answer = f.wait(v.Record, answer, random)
	case Refused:
		answer.result = Unrun
	}
	f.record(client, called, answer)
}

func (f *fleet) run(client int, table *Table, r *Record, random *rand.Rand) event {
	answer := event{operation: r.Operation, result: Unrun}
	pause(random)
	outcome := Outcome{Result: Unrun}
	if random.Intn(4) > 0 && table.Send(r, f.now()) {
		called := time.Since(f.start)
		effect := int(f.effects.Add(1))
		f.record(client, called, event{operation: r.Operation, effect: effect})
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
	answer.result, answer.answer = r.Outcome().Result, r.Outcome().Status
	return answer
}

// wait gives up now and then, as a caller whose deadline passes.
func (f *fleet) wait(r *Record, answer event, random *rand.Rand) event {
	if random.Intn(4) == 0 {
		return answer
	}
	<-r.Done()
	if o := r.Outcome(); !o.Dropped {
		answer.result, answer.answer = o.Result, o.Status
	}
	return answer
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

// recordHistory runs concurrent callers while the clock jumps and executors restart.
func recordHistory(v variant, seed int64) []porcupine.Operation {
	f := newFleet(v)
	var ids [4]atomic.Pointer[Operation]
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
					o = &Operation{Token: token, Part: fmt.Sprintf("c%d-%d", client, i)}
					slot.Store(o)
				}
				f.call(client, random.Intn(2), *o, random)
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
	return f.history
}

// checkLimit bounds the search of one history.
const checkLimit = 20 * time.Second

func TestHistoriesAreAtMostOnce(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		history := recordHistory(variant{}, seed)
		if got := porcupine.CheckOperationsTimeout(atMostOnce, history, checkLimit); got != porcupine.Ok {
			t.Errorf("seed %d: history of %d events is %s", seed, len(history), got)
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
			if porcupine.CheckOperationsTimeout(atMostOnce, recordHistory(v, seed), checkLimit) == porcupine.Illegal {
				found++
			}
		}
		t.Logf("%s: found in %d of 10 histories", title, found)
		if found == 0 {
			t.Errorf("%s: not found", title)
		}
	}
}
