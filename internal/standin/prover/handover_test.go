package prover

import (
	"net/http"
	"strings"
	"testing"

	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// outlive sends an operation again after its executor has ended, through each
// instance that is left. It returns what callers were told wrongly.
func outlive(t *testing.T, end func(*starter.Instance)) []string {
	t.Helper()
	f := scene(t, 3)
	executor := f.Instances[0]
	confirm := func(i *starter.Instance, id string) *http.Response {
		q, err := http.NewRequest(http.MethodPost, "http://"+i.Entry.Address.String()+"/s/parts/confirm/x", strings.NewReader("order"))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Oriole-Operation", id)
		p, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		p.Body.Close()
		return p
	}
	token := confirm(executor, "").Header.Get("Oriole-Executor")
	first := confirm(executor, token+"/order")
	if first.StatusCode != http.StatusOK {
		t.Fatalf("the operation ended %s", first.Status)
	}
	end(executor)
	<-executor.Done()
	var found []string
	for _, i := range f.Instances[1:] {
		again := confirm(i, token+"/order")
		if again.Header.Get("Oriole-Outcome") != "done" || again.Header.Get("Target-Start") != first.Header.Get("Target-Start") {
			found = append(found, "sent again, it ended "+again.Status)
		}
		if other := confirm(i, token+"/other").Header.Get("Oriole-Outcome"); other != "unrun" {
			found = append(found, "an operation that never ran ended "+other)
		}
	}
	runs := 0
	for _, e := range f.Record(t) {
		if e.Type == "begin" && e.Kind == "confirm" {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the operation ran %d times", runs)
	}
	return found
}

func TestOutcomeOutlivesItsExecutor(t *testing.T) {
	if found := outlive(t, (*starter.Instance).Terminate); len(found) > 0 {
		t.Error(found)
	}
}

func TestOutcomeCheckRejectsKilledExecutor(t *testing.T) {
	if found := outlive(t, (*starter.Instance).Kill); len(found) == 0 {
		t.Error("the outcome of a killed executor was known")
	}
}
