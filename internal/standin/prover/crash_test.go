package prover

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

const (
	// crashAttempts is the number of attempts with the request that crashes its targets.
	crashAttempts = 8
	// maxLostTargets is the maximum number of targets that one request may crash.
	maxLostTargets = 2
)

// crashResult holds the effects of a request that crashes its targets.
type crashResult struct {
	// lostTargets is the number of targets that crashed.
	lostTargets int
	// lastHeader and lastStatus are those of the last response. lastDuration is the time
	// from the last attempt to its response.
	lastHeader   http.Header
	lastStatus   int
	lastDuration time.Duration
	// failedRequests describes the other requests whose outcome is not done.
	failedRequests []string
}

// sendCrashingRequest repeatedly sends a request that crashes its targets, to the instances
// in turn and under load. The function body returns the body of attempt n.
func sendCrashingRequest(t *testing.T, body func(n int) string) crashResult {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{Tree: tree, Place: "himal", Service: "parts", Targets: 6, Instances: 3})
	background := mixedLoad("r", 4*time.Second, f.Instances...)
	background.KindLoads = background.KindLoads[:1]
	background.MaxAttempts, background.RequestTimeout = 40, 4*time.Second
	results := starter.StartLoad(t, background)
	time.Sleep(time.Second)
	var s crashResult
	for n := range crashAttempts {
		address := f.Instances[n%len(f.Instances)].Entry.Address
		request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/s/parts/lookup/door", strings.NewReader(body(n)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Crash", "1")
		request.Header.Set("Request-Id", fmt.Sprintf("crash.%d", n))
		began := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		s.lastHeader, s.lastStatus, s.lastDuration = response.Header, response.StatusCode, time.Since(began)
		t.Logf("attempt %d at %s: status %d, outcome %s after %s", n, address, s.lastStatus, s.lastHeader.Get("Oriole-Outcome"), s.lastDuration)
		// The delay is so short that the next instance cannot have received the report of
		// the crash by chance.
		time.Sleep(200 * time.Millisecond)
	}
	for _, r := range (<-results).Requests {
		if r.Outcome != loader.Done {
			s.failedRequests = append(s.failedRequests, fmt.Sprintf("%s has the outcome %s", r.ID, r.Outcome))
		}
	}
	for _, target := range f.Targets {
		select {
		case <-target.Done():
			s.lostTargets++
		default:
		}
	}
	return s
}

// TestCrashingRequestIsContained guards against the loss of many targets to one request: a
// caller retries the request at other instances, and each of them runs it again.
func TestCrashingRequestIsContained(t *testing.T) {
	t.Parallel()
	s := sendCrashingRequest(t, func(int) string { return "jammed" })
	if s.lostTargets > maxLostTargets {
		t.Errorf("%d targets crashed, more than maxLostTargets", s.lostTargets)
	}
	if s.lastStatus != http.StatusUnprocessableEntity || s.lastHeader.Get("Oriole-Final") != "true" || s.lastHeader.Get("Oriole-Retry") == "" {
		t.Errorf("the last response is not a final rejection with status 422 and a retry time: %d %v", s.lastStatus, s.lastHeader)
	}
	if len(s.failedRequests) > 0 {
		t.Errorf("%d other requests failed, the first: %s", len(s.failedRequests), s.failedRequests[0])
	}
}

// TestCrashCheckRejectsUnrecognizedRequest guards against a check that detects nothing. The
// body differs in each attempt, so the instances cannot recognize the request.
func TestCrashCheckRejectsUnrecognizedRequest(t *testing.T) {
	t.Parallel()
	s := sendCrashingRequest(t, func(n int) string { return fmt.Sprint("jammed ", n) })
	if s.lostTargets <= maxLostTargets {
		t.Errorf("only %d targets crashed although the instances cannot recognize the request", s.lostTargets)
	}
}
