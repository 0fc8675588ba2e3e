package commander

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/server"
)

// instance serves the admin pages of one instance that knows some peers.
func instance(t *testing.T, address string, peers ...server.Peer) string {
	t.Helper()
	a := accountant.New(netip.MustParseAddrPort(address), "a", time.Unix(0, 0))
	a.Counters(accountant.Key{Place: "himal", Service: "lookup", Kind: "find"}).Requests.Add(10)
	page := &server.Admin{
		Cost:           a.Report,
		Explain:        func(time.Time) any { return map[string]string{"instance": address} },
		Peers:          func() []server.Peer { return peers },
		MetricsHandler: http.NotFoundHandler(),
	}
	s := httptest.NewServer(page.Router())
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestCostFollowsPeersAndNamesWhatIsMissing(t *testing.T) {
	second := instance(t, "10.0.0.2:80")
	first := instance(t, "10.0.0.1:80",
		server.Peer{Address: "10.0.0.1:80"},
		server.Peer{Address: "10.0.0.2:80", Admin: second},
		server.Peer{Address: "10.0.0.3:80"},
	)
	var out, faults bytes.Buffer
	if code := Run([]string{"cost", "--admin", first + ",127.0.0.1:1"}, &out, &faults); code != exitDone {
		t.Fatal(faults.String())
	}
	for _, want := range []string{"2 gave no report (10.0.0.3:80, 127.0.0.1:1)", "himal  total    -     20 "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if code := Run([]string{"cost", "--admin", "127.0.0.1:1"}, &out, &faults); code != exitFailed {
		t.Error("a bill without any report was printed")
	}
}

func TestExplainPrintsTheBeliefs(t *testing.T) {
	var out, faults bytes.Buffer
	if code := Run([]string{"explain", "--admin", instance(t, "10.0.0.1:80")}, &out, &faults); code != exitDone {
		t.Fatal(faults.String())
	}
	var got map[string]string
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || got["instance"] != "10.0.0.1:80" {
		t.Error(out.String(), err)
	}
}
