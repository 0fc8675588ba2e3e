package publisher

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// client keeps no connections: net/http repeats a GET when a kept connection breaks,
// and the tests count each call once.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns status and body of the response. Status 0 means
// that there is no response.
func call(t *testing.T, s *httptest.Server, method, path, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// TestReadsWatchesAndFaults guards against a platform whose reads, watches and
// faults return another revision or status than published, or whose call counts are
// wrong.
func TestReadsWatchesAndFaults(t *testing.T) {
	s := httptest.NewServer(New().Handler())
	defer s.Close()
	steps := []struct {
		method, path, body string
		status             int
		text               string
	}{
		{"GET", "/v1/settings", "", 304, ""},
		{"PUT", "/admin/settings", "version: 3", 204, ""},
		{"GET", "/v1/settings", "", 200, "version: 3"},
		{"GET", "/v1/settings?after=3&wait=1ms", "", 304, ""},
		{"PUT", "/admin/settings", "version: 4", 204, ""},
		{"GET", "/v1/settings?after=3&wait=1m", "", 200, "version: 4"},
		{"PUT", "/fault/stale", "", 204, ""},
		{"GET", "/v1/settings", "", 200, "version: 3"},
		{"GET", "/v1/settings?after=3&wait=1ms", "", 304, ""},
		{"DELETE", "/fault/stale", "", 204, ""},
		{"GET", "/v1/settings?after=3&wait=1m", "", 200, "version: 4"},
		{"PUT", "/fault/garbage", "", 204, ""},
		{"GET", "/v1/settings", "", 200, "version: [7, {\x00 \xff garbage"},
		{"DELETE", "/fault/garbage", "", 204, ""},
		{"PUT", "/fault/down", "", 204, ""},
		{"GET", "/v1/settings", "", 0, ""},
		{"DELETE", "/fault/down", "", 204, ""},
		{"PUT", "/fault/flap", "1h", 204, ""},
		{"GET", "/v1/settings", "", 0, ""},
		{"DELETE", "/fault/flap", "", 204, ""},
		{"PUT", "/fault/none", "", 404, "{\"message\":\"unknown fault\"}\n"},
		{"GET", "/admin/calls", "", 200, "{\"reads\":6,\"watches\":4,\"total\":10}\n"},
	}
	for _, c := range steps {
		status, text := call(t, s, c.method, c.path, c.body)
		if status != c.status || text != c.text {
			t.Errorf("%s %s: got %d %q, want %d %q", c.method, c.path, status, text, c.status, c.text)
		}
	}
}

// TestWatchEndsOnChangeOrFault guards against a watch that keeps waiting after a
// publication or while the platform is down.
func TestWatchEndsOnChangeOrFault(t *testing.T) {
	s := httptest.NewServer(New().Handler())
	defer s.Close()
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/admin/settings", "version: 1", 200},
		{"PUT", "/fault/down", "", 0},
	} {
		got := make(chan int)
		go func() {
			status, _ := call(t, s, "GET", "/v1/settings?after=0&wait=1m", "")
			if c.status == 0 {
				status, _ = call(t, s, "GET", "/v1/settings?after=1&wait=1m", "")
			}
			got <- status
		}()
		time.Sleep(20 * time.Millisecond)
		call(t, s, c.method, c.path, c.body)
		if status := <-got; status != c.status {
			t.Errorf("%s: the watch ended with %d, want %d", c.path, status, c.status)
		}
	}
}

// TestListEntries guards against list changes that add an entry twice, keep a
// deleted one or skip a revision.
func TestListEntries(t *testing.T) {
	s := httptest.NewServer(New().Handler())
	defer s.Close()
	call(t, s, "POST", "/admin/targets", `{"address":"127.0.0.1:1","place":"p","service":"s"}`)
	call(t, s, "POST", "/admin/targets", `{"address":"127.0.0.1:2","place":"p","service":"s"}`)
	call(t, s, "POST", "/admin/targets", `{"address":"127.0.0.1:1","place":"p","service":"s","state":"leaving"}`)
	call(t, s, "DELETE", "/admin/targets/127.0.0.1:2", "")
	call(t, s, "POST", "/admin/instances", `{"address":"127.0.0.1:3","peer":"127.0.0.1:4"}`)
	_, text := call(t, s, "GET", "/v1/list?after=4&wait=1m", "")
	var l lister.List
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	if l.Revision != 5 || len(l.Targets) != 1 || l.Targets[0].State != lister.Leaving || len(l.Instances) != 1 {
		t.Errorf("got list %s, want revision 5 with one leaving target and one instance", text)
	}
}
