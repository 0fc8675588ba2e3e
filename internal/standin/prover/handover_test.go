package prover

import (
	"net/http"
	"strings"
	"testing"

	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// resendAfterEnd runs an operation, ends its executor and sends the operation again through
// each remaining instance. It returns the wrong outcomes that these instances returned.
func resendAfterEnd(t *testing.T, end func(*starter.Instance)) []string {
	t.Helper()
	f := newFleet(t, 3)
	executor := f.Instances[0]
	confirm := func(i *starter.Instance, id string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, "http://"+i.Entry.Address.String()+"/s/parts/confirm/x", strings.NewReader("order"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Oriole-Operation", id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response
	}
	// A request without an operation id is not executed. Its response names the token of
	// the executor.
	token := confirm(executor, "").Header.Get("Oriole-Executor")
	first := confirm(executor, token+"/order")
	if first.StatusCode != http.StatusOK {
		t.Fatalf("the operation returned status %s, expected 200", first.Status)
	}
	end(executor)
	<-executor.Done()
	var found []string
	for _, i := range f.Instances[1:] {
		again := confirm(i, token+"/order")
		if again.Header.Get("Oriole-Outcome") != "done" || again.Header.Get("Target-Start") != first.Header.Get("Target-Start") {
			found = append(found, "the operation that was sent again did not return the outcome and the target start of the first response, status "+again.Status)
		}
		if other := confirm(i, token+"/other").Header.Get("Oriole-Outcome"); other != "unrun" {
			found = append(found, "an operation that never ran must have the outcome unrun, but has the outcome "+other)
		}
	}
	runs := 0
	for _, e := range f.RecordedEvents(t) {
		if e.Type == "begin" && e.Kind == "confirm" {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the operation ran %d times, expected once", runs)
	}
	return found
}

// TestOutcomeIsKnownAfterExecutorShutdown guards against outcomes that are lost with their
// executor: an executor that shuts down must hand them over to the other instances.
func TestOutcomeIsKnownAfterExecutorShutdown(t *testing.T) {
	if found := resendAfterEnd(t, (*starter.Instance).Terminate); len(found) > 0 {
		t.Error(found)
	}
}

// TestOutcomeCheckRejectsKilledExecutor guards against a check that detects nothing. A
// killed executor cannot hand over its outcomes.
func TestOutcomeCheckRejectsKilledExecutor(t *testing.T) {
	if found := resendAfterEnd(t, (*starter.Instance).Kill); len(found) == 0 {
		t.Error("the check found no wrong outcome after the executor was killed")
	}
}
