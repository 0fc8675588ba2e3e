package prover

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// bill adds up what the live instances say.
func bill(t *testing.T, f *starter.Fleet) accountant.Amounts {
	t.Helper()
	var total accountant.Amounts
	for _, i := range f.Instances {
		var r accountant.Report
		text, _, err := starter.Call(http.MethodGet, i.Admin, "/v1/cost", "")
		if err != nil || json.Unmarshal(text, &r) != nil {
			t.Fatal(err)
		}
		for _, l := range r.Lines {
			total.Done += l.Done
			total.Retries += l.Retries
			total.Hedges += l.Hedges
			total.Probes += l.Probes
		}
	}
	return total
}

// passOn sends operations to another instance than their executor, and returns
// how many were answered.
func passOn(executor, other *starter.Instance) int {
	random := rand.New(rand.NewSource(1))
	at := &orders{instances: starter.Callers(executor), client: &http.Client{}}
	through := &orders{instances: starter.Callers(other), client: at.client}
	for n := range 20 {
		name := fmt.Sprintf("passed%d", n)
		through.send(at.token(random)+"/"+name, name+".1", random)
	}
	return through.done
}

// compare returns where the bill of the live instances differs from what the
// callers got and the targets ran.
func compare(t *testing.T, f *starter.Fleet, result *loader.Result, passed int) []string {
	t.Helper()
	done, runs, probes := int64(passed), int64(0), int64(0)
	for _, r := range result.Requests {
		if r.Outcome == loader.Done {
			done++
		}
	}
	for _, e := range f.Record(t) {
		switch e.Type {
		case recorder.Begin:
			runs++
		case recorder.Probe:
			probes++
		}
	}
	b := bill(t, f)
	t.Logf("%d answered, %d runs, %d probes; bill: %+v", done, runs, probes, b)
	var found []string
	if b.Done != done || b.Probes != probes {
		found = append(found, fmt.Sprintf("the bill has %d answered and %d probes", b.Done, b.Probes))
	}
	if most := b.Done + b.Retries + b.Hedges; runs > most {
		found = append(found, fmt.Sprintf("targets ran %d times, the bill has %d", runs, most))
	}
	return found
}

func TestCostAgreesWithTargets(t *testing.T) {
	t.Parallel()
	f := scene(t, 3)
	result := <-starter.Load(t, load("r", 3*time.Second, f.Instances...))
	passed := passOn(f.Instances[0], f.Instances[1])
	if passed == 0 {
		t.Error("no operation was passed on and answered")
	}
	if found := compare(t, f, result, passed); len(found) > 0 {
		t.Error(found)
	}
	var admins []string
	for _, i := range f.Instances {
		admins = append(admins, i.Admin.String())
	}
	all := strings.Join(admins, ",")
	if text, _ := starter.Run(t, "cost", starter.System, "cost", "--admin", all); !strings.Contains(text, "missing: no live instance") {
		t.Errorf("the bill of a whole fleet is:\n%s", text)
	}
	// The counters of an instance end with it: the bill no longer agrees, and says so.
	lost := busiest(t, f)
	lost.Kill()
	f.Instances = slices.DeleteFunc(f.Instances, func(i *starter.Instance) bool { return i == lost })
	if found := compare(t, f, result, passed); len(found) == 0 {
		t.Error("a bill without the busiest instance was taken for whole")
	}
	text, _ := starter.Run(t, "cost", starter.System, "cost", "--admin", all)
	if want := "missing: 1 gave no report (" + lost.Admin.String() + ")"; !strings.Contains(text, want) {
		t.Errorf("no %q in the bill:\n%s", want, text)
	}
}
