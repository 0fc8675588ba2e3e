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
	// crashTries bounds the sendings of the request that crashes its targets.
	crashTries = 8
	// mostLost is the number of targets that one request may take.
	mostLost = 2
)

// crashScene is what became of a request that crashes its targets.
type crashScene struct {
	// lost is the number of targets that ended.
	lost int
	// last is the last answer and took the time until it.
	last http.Header
	code int
	took time.Duration
	// hurt names the other requests that were not answered in the end.
	hurt []string
}

// crash sends a request that crashes its targets again and again, through one
// instance after the other, under load. The content of each sending comes from
// the function.
func crash(t *testing.T, body func(n int) string) crashScene {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{Tree: tree, Place: "himal", Service: "parts", Targets: 6, Instances: 3})
	calm := load("r", 4*time.Second, f.Instances...)
	calm.KindLoads = calm.KindLoads[:1]
	calm.MaxAttempts, calm.RequestTimeout = 40, 4*time.Second
	results := starter.Load(t, calm)
	time.Sleep(time.Second)
	var s crashScene
	for n := range crashTries {
		address := f.Instances[n%len(f.Instances)].Entry.Address
		request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/s/parts/lookup/door", strings.NewReader(body(n)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Crash", "1")
		request.Header.Set("Request-Id", fmt.Sprintf("crash.%d", n))
		began := time.Now()
		reply, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = reply.Body.Close()
		s.last, s.code, s.took = reply.Header, reply.StatusCode, time.Since(began)
		t.Logf("try %d at %s: %d %s after %s", n, address, s.code, s.last.Get("Oriole-Outcome"), s.took)
		// The caller comes back before the next instance can have heard by chance.
		time.Sleep(200 * time.Millisecond)
	}
	for _, r := range (<-results).Requests {
		if r.Outcome != loader.Done {
			s.hurt = append(s.hurt, fmt.Sprintf("%s ended %s", r.ID, r.Outcome))
		}
	}
	for _, target := range f.Targets {
		select {
		case <-target.Done():
			s.lost++
		default:
		}
	}
	return s
}

func TestCrashingRequestIsContained(t *testing.T) {
	t.Parallel()
	s := crash(t, func(int) string { return "jammed" })
	if s.lost > mostLost {
		t.Errorf("%d targets were lost", s.lost)
	}
	if s.code != http.StatusUnprocessableEntity || s.last.Get("Oriole-Final") != "true" || s.last.Get("Oriole-Retry") == "" {
		t.Errorf("the last answer was %d %v", s.code, s.last)
	}
	if len(s.hurt) > 0 {
		t.Errorf("%d other requests were hurt, the first: %s", len(s.hurt), s.hurt[0])
	}
}

func TestCrashCheckRejectsUnrecognizedRequest(t *testing.T) {
	t.Parallel()
	s := crash(t, func(n int) string { return fmt.Sprint("jammed ", n) })
	if s.lost <= mostLost {
		t.Errorf("only %d targets were lost to a request that never looks the same", s.lost)
	}
}
