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

// reportedCosts returns the sum of the costs that the live instances report.
func reportedCosts(t *testing.T, f *starter.Fleet) accountant.Amounts {
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

// forwardOperations sends operations to an instance that is not their executor, so that it
// forwards them. It returns the number of operations with the outcome done.
func forwardOperations(executor, other *starter.Instance) int {
	random := rand.New(rand.NewSource(1))
	direct := &orderCallers{instances: starter.CallerAddresses(executor), client: &http.Client{}}
	forwarding := &orderCallers{instances: starter.CallerAddresses(other), client: direct.client}
	for n := range 20 {
		name := fmt.Sprintf("passed%d", n)
		forwarding.send(direct.executorToken(random)+"/"+name, name+".1", random)
	}
	return forwarding.done
}

// costDifferences compares the costs that the live instances report with the outcomes that
// callers got and the runs that targets recorded, and returns the differences.
func costDifferences(t *testing.T, f *starter.Fleet, result *loader.Result, forwarded int) []string {
	t.Helper()
	done, runs, probes := int64(forwarded), int64(0), int64(0)
	for _, r := range result.Requests {
		if r.Outcome == loader.Done {
			done++
		}
	}
	for _, e := range f.RecordedEvents(t) {
		switch e.Type {
		case recorder.Begin:
			runs++
		case recorder.Probe:
			probes++
		}
	}
	costs := reportedCosts(t, f)
	t.Logf("%d requests done, %d runs, %d probes; reported costs: %+v", done, runs, probes, costs)
	var found []string
	if costs.Done != done || costs.Probes != probes {
		found = append(found, fmt.Sprintf("the reported costs differ from the records: they have %d requests done and %d probes", costs.Done, costs.Probes))
	}
	if maxRuns := costs.Done + costs.Retries + costs.Hedges; runs > maxRuns {
		found = append(found, fmt.Sprintf("targets recorded %d runs, the reported costs allow at most %d", runs, maxRuns))
	}
	return found
}

// TestCostAgreesWithTargets guards against costs that are counted wrongly, for example for
// forwarded operations, and against a bill (the sum of all cost reports) that looks
// complete although an instance gave no report.
func TestCostAgreesWithTargets(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	result := <-starter.StartLoad(t, mixedLoad("r", 3*time.Second, f.Instances...))
	forwarded := forwardOperations(f.Instances[0], f.Instances[1])
	if forwarded == 0 {
		t.Error("no forwarded operation has the outcome done")
	}
	if found := costDifferences(t, f, result, forwarded); len(found) > 0 {
		t.Error(found)
	}
	var admins []string
	for _, i := range f.Instances {
		admins = append(admins, i.Admin.String())
	}
	all := strings.Join(admins, ",")
	if text, _ := starter.Run(t, "cost", starter.Balancer, "cost", "--admin", all); !strings.Contains(text, "missing: no live instance") {
		t.Errorf("the bill of a complete fleet reports missing instances:\n%s", text)
	}
	// The counters of a killed instance are lost. So the reported costs must differ, and
	// the bill must name the missing instance.
	lost := busiest(t, f)
	lost.Kill()
	f.Instances = slices.DeleteFunc(f.Instances, func(i *starter.Instance) bool { return i == lost })
	if found := costDifferences(t, f, result, forwarded); len(found) == 0 {
		t.Error("the check accepted costs without those of the busiest instance")
	}
	text, _ := starter.Run(t, "cost", starter.Balancer, "cost", "--admin", all)
	if want := "missing: 1 gave no report (" + lost.Admin.String() + ")"; !strings.Contains(text, want) {
		t.Errorf("the bill does not contain %q:\n%s", want, text)
	}
}
