package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/generator"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
	"oriolecourse.example/oriolecourse/internal/standin/verifier"
)

const (
	// attemptTimeout is the time after which a caller gives up an attempt and sends the
	// operation again. It is also the delay until a caller asks for an executor again.
	attemptTimeout = 400 * time.Millisecond
	// maxAttempts is the maximum number of attempts for one order. Failed requests for an
	// executor count as attempts.
	maxAttempts = 12
	// meanOrderInterval is the mean time between two orders of one caller.
	meanOrderInterval = 60 * time.Millisecond
	// orderDuration is the time during which orders start.
	orderDuration = 8 * time.Second
)

// orderCallers simulates callers that send orders. An order is a request that must run at
// most once. Callers send it again, to a random instance each time, until they know its
// outcome.
type orderCallers struct {
	instances []netip.AddrPort
	client    *http.Client

	history verifier.History
	mu      sync.Mutex
	// done is the number of orders with the outcome done: complete makes no further
	// attempt after it. total is the number of all orders.
	done  int
	total int
}

// executorToken asks a random instance for an executor and returns its token. It returns
// "" if the instance gives none.
func (o *orderCallers) executorToken(random *rand.Rand) string {
	address := o.instances[random.Intn(len(o.instances))]
	text, status, err := starter.Call(http.MethodGet, address, "/v1/address?service=parts&kind=confirm", "")
	var response struct{ Executor string }
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &response) != nil {
		return ""
	}
	return response.Executor
}

// complete sends an order until its outcome is known or maxAttempts is reached. It uses a
// new operation id only after a response that the operation with the old id was not
// executed.
func (o *orderCallers) complete(name string, random *rand.Rand) {
	id := ""
	for n := 1; n <= maxAttempts; n++ {
		if id == "" {
			if token := o.executorToken(random); token != "" {
				id = token + "/" + name
			}
		}
		if id == "" {
			time.Sleep(attemptTimeout)
			continue
		}
		outcome, final := o.send(id, fmt.Sprintf("%s.%d", name, n), random)
		if outcome == "done" || outcome == "unknown" && final {
			break
		}
		if outcome == "unrun" {
			id = ""
		}
		time.Sleep(time.Duration(random.Intn(50)) * time.Millisecond)
	}
}

// send makes one attempt at a random instance and adds it to the history. The outcome is
// unknown if no complete response arrives.
func (o *orderCallers) send(id, attempt string, random *rand.Rand) (outcome string, final bool) {
	address := o.instances[random.Intn(len(o.instances))]
	called := time.Now()
	e := verifier.Event{Outcome: "unknown"}
	defer func() {
		o.history.Add(id, e, called, time.Now())
		o.mu.Lock()
		defer o.mu.Unlock()
		if e.Outcome == "done" {
			o.done++
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	name, _, _ := strings.Cut(attempt, ".")
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/s/parts/confirm/"+name, nil)
	if err != nil {
		return e.Outcome, false
	}
	request.Header.Set("Oriole-Operation", id)
	request.Header.Set("Request-Id", attempt)
	request.Header.Set("Answer-Size", "200")
	response, err := o.client.Do(request)
	if err != nil {
		return e.Outcome, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return e.Outcome, false
	}
	if reported := response.Header.Get("Oriole-Outcome"); reported != "" {
		e.Outcome = reported
	}
	if e.Outcome == "done" {
		if e.ResponseRun, err = generator.Check(body); err != nil {
			e.ResponseRun = "damaged: " + err.Error()
		}
	}
	return e.Outcome, response.Header.Get("Oriole-Final") == "true"
}

// run starts the orders of one caller and waits until all are complete.
func (o *orderCallers) run(caller int, seed int64) {
	random := rand.New(rand.NewSource(seed*100 + int64(caller)))
	var running sync.WaitGroup
	for n, began := 0, time.Now(); time.Since(began) < orderDuration; n++ {
		name := fmt.Sprintf("c%dx%d", caller, n)
		orderRandom := rand.New(rand.NewSource(random.Int63()))
		running.Go(func() { o.complete(name, orderRandom) })
		o.mu.Lock()
		o.total++
		o.mu.Unlock()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanOrderInterval)))
	}
	running.Wait()
}

// injectFaults pauses and kills instances and injects faults into targets. It begins the
// last fault more than 2 s before the last orders start.
func injectFaults(t *testing.T, f *starter.Fleet, seed int64) {
	random := rand.New(rand.NewSource(seed))
	for began := time.Now(); time.Since(began) < orderDuration-2*time.Second; {
		n := random.Intn(len(f.Instances))
		target := f.Targets[random.Intn(len(f.Targets))].Address
		length := time.Duration(500+random.Intn(1200)) * time.Millisecond
		switch random.Intn(5) {
		case 0:
			f.Instances[n].Pause()
			time.Sleep(length)
			f.Instances[n].Continue()
		case 1:
			f.Instances[n].Kill()
			time.Sleep(length / 4)
			f.Restart(t, n)
		default:
			fault := []string{"lateanswer", "halfanswer", "shed"}[random.Intn(3)]
			f.InjectFault(t, target, fault, "")
			time.Sleep(length)
			f.ClearFault(t, target, fault)
		}
	}
}

// violations compares the history of the callers with the runs that targets recorded. It
// returns the orders that ran more than once and the error of the history check.
func (o *orderCallers) violations(events []recorder.Event) []string {
	var found []string
	runs := map[string]int{}
	for _, e := range events {
		if e.Type != recorder.Begin || e.Kind != "confirm" {
			continue
		}
		name, _, _ := strings.Cut(e.Request, ".")
		if runs[name]++; runs[name] > 1 {
			found = append(found, name+" ran more than once")
		}
		o.history.Add(e.Operation, verifier.Event{Run: e.Request}, e.Time, e.Time)
	}
	if err := o.history.Check(); err != nil {
		found = append(found, err.Error())
	}
	return found
}

// runOrders sends orders under faults and returns the violations, the number of orders
// with the outcome done and the number of all orders. The parameter kind is the line of the
// settings tree for the kind "confirm".
func runOrders(t *testing.T, kind string, seed int64) (found []string, done, total int) {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{
		Tree:  strings.Replace(tree, "confirm: {once: true, deadline: 5s, wait: 4s}", kind, 1),
		Place: "himal", Service: "parts", Targets: 4, Instances: 3,
	})
	o := &orderCallers{instances: starter.CallerAddresses(f.Instances...), client: &http.Client{}}
	var running sync.WaitGroup
	for caller := range 4 {
		running.Go(func() { o.run(caller, seed) })
	}
	injectFaults(t, f, seed)
	running.Wait()
	return o.violations(f.RecordedEvents(t)), o.done, o.total
}

// TestOperationsRunAtMostOnce guards against operations that run twice: instances are killed
// or paused, targets send late or truncated responses, and callers send the operations
// again through other instances.
func TestOperationsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	found, done, total := runOrders(t, "confirm: {once: true, deadline: 1s, wait: 500ms}", 1)
	t.Logf("%d of %d orders done", done, total)
	if len(found) > 0 {
		t.Errorf("%d violations, the first: %s", len(found), found[0])
	}
	if done < total/2 {
		t.Error("fewer than half of the orders are done, so the test is not conclusive")
	}
}

// TestOnceCheckRejectsKindWithoutOnce guards against a check that detects nothing. Without
// the setting "once", operations may run again.
func TestOnceCheckRejectsKindWithoutOnce(t *testing.T) {
	t.Parallel()
	found, _, _ := runOrders(t, "confirm: {deadline: 1s, wait: 500ms}", 1)
	t.Logf("%d violations", len(found))
	if len(found) == 0 {
		t.Error("the check found no violation for a kind that may run more than once")
	}
}
