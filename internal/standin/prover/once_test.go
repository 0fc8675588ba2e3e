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
	// impatience is when a caller sends an operation again elsewhere.
	impatience = 400 * time.Millisecond
	// resends bounds the sendings of one order.
	resends = 12
	// orderPause is the mean time between two orders of one caller.
	orderPause = 60 * time.Millisecond
	// onceScene is how long orders are started.
	onceScene = 8 * time.Second
)

// orders are the callers of a scene. They send each order again, and through any
// instance, until they know what became of it.
type orders struct {
	instances []netip.AddrPort
	client    *http.Client

	history verifier.History
	mu      sync.Mutex
	done    int
	total   int
}

// token asks any instance for an executor.
func (o *orders) token(random *rand.Rand) string {
	address := o.instances[random.Intn(len(o.instances))]
	text, status, err := starter.Call(http.MethodGet, address, "/v1/address?service=parts&kind=confirm", "")
	var answer struct{ Executor string }
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &answer) != nil {
		return ""
	}
	return answer.Executor
}

// place brings one order to its end. A new id is taken only after an answer
// that the old one was not run.
func (o *orders) place(name string, random *rand.Rand) {
	id := ""
	for n := 1; n <= resends; n++ {
		if id == "" {
			if token := o.token(random); token != "" {
				id = token + "/" + name
			}
		}
		if id == "" {
			time.Sleep(impatience)
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

// send makes one attempt at any instance and records it.
func (o *orders) send(id, attempt string, random *rand.Rand) (outcome string, final bool) {
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
	ctx, cancel := context.WithTimeout(context.Background(), impatience)
	defer cancel()
	name, _, _ := strings.Cut(attempt, ".")
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/s/parts/confirm/"+name, nil)
	if err != nil {
		return e.Outcome, false
	}
	request.Header.Set("Oriole-Operation", id)
	request.Header.Set("Request-Id", attempt)
	request.Header.Set("Answer-Size", "200")
	reply, err := o.client.Do(request)
	if err != nil {
		return e.Outcome, false
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return e.Outcome, false
	}
	if told := reply.Header.Get("Oriole-Outcome"); told != "" {
		e.Outcome = told
	}
	if e.Outcome == "done" {
		if e.ResponseRun, err = generator.Check(body); err != nil {
			e.ResponseRun = "damaged: " + err.Error()
		}
	}
	return e.Outcome, reply.Header.Get("Oriole-Final") == "true"
}

// place all orders of one caller.
func (o *orders) run(caller int, seed int64) {
	random := rand.New(rand.NewSource(seed*100 + int64(caller)))
	var running sync.WaitGroup
	for n, began := 0, time.Now(); time.Since(began) < onceScene; n++ {
		name := fmt.Sprintf("c%dx%d", caller, n)
		own := rand.New(rand.NewSource(random.Int63()))
		running.Go(func() { o.place(name, own) })
		o.mu.Lock()
		o.total++
		o.mu.Unlock()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(orderPause)))
	}
	running.Wait()
}

// trouble brings faults to instances and targets until the orders stop.
func trouble(t *testing.T, f *starter.Fleet, seed int64) {
	random := rand.New(rand.NewSource(seed))
	for began := time.Now(); time.Since(began) < onceScene-2*time.Second; {
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
			f.Fault(t, target, fault, "")
			time.Sleep(length)
			f.Mend(t, target, fault)
		}
	}
}

// judge compares the history with what the targets ran and returns what is wrong.
func (o *orders) judge(events []recorder.Event) []string {
	var found []string
	runs := map[string]int{}
	for _, e := range events {
		if e.Type != recorder.Begin || e.Kind != "confirm" {
			continue
		}
		name, _, _ := strings.Cut(e.Request, ".")
		if runs[name]++; runs[name] > 1 {
			found = append(found, name+" ran again")
		}
		o.history.Add(e.Operation, verifier.Event{Run: e.Request}, e.Time, e.Time)
	}
	if err := o.history.Check(); err != nil {
		found = append(found, err.Error())
	}
	return found
}

// confirmations runs orders in trouble and judges them.
func confirmations(t *testing.T, kind string, seed int64) (found []string, done, total int) {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{
		Tree:  strings.Replace(tree, "confirm: {once: true, deadline: 5s, wait: 4s}", kind, 1),
		Place: "himal", Service: "parts", Targets: 4, Instances: 3,
	})
	o := &orders{instances: starter.Callers(f.Instances...), client: &http.Client{}}
	var running sync.WaitGroup
	for caller := range 4 {
		running.Go(func() { o.run(caller, seed) })
	}
	trouble(t, f, seed)
	running.Wait()
	return o.judge(f.Record(t)), o.done, o.total
}

func TestConfirmationsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	found, done, total := confirmations(t, "confirm: {once: true, deadline: 1s, wait: 500ms}", 1)
	t.Logf("%d of %d orders done", done, total)
	if len(found) > 0 {
		t.Errorf("%d findings, the first: %s", len(found), found[0])
	}
	if done < total/2 {
		t.Error("less than half of the orders were done: the scene proves little")
	}
}

func TestOnceCheckRejectsKindWithoutOnce(t *testing.T) {
	t.Parallel()
	found, _, _ := confirmations(t, "confirm: {deadline: 1s, wait: 500ms}", 1)
	t.Logf("%d findings", len(found))
	if len(found) == 0 {
		t.Error("a kind that may run again was taken for one that runs at most once")
	}
}
