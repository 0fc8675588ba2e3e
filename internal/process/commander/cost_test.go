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

// serveAdmin serves the admin pages of an instance that knows the peers, and returns
// their address.
func serveAdmin(t *testing.T, address string, peers ...server.Peer) string {
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

func TestCostFollowsPeersAndNamesMissingInstances(t *testing.T) {
	second := serveAdmin(t, "10.0.0.2:80")
	first := serveAdmin(t, "10.0.0.1:80",
		server.Peer{Address: "10.0.0.1:80"},
		server.Peer{Address: "10.0.0.2:80", Admin: second},
		server.Peer{Address: "10.0.0.3:80"},
	)
	var out, errOut bytes.Buffer
	if code := Run([]string{"cost", "--admin", first + ",127.0.0.1:1"}, &out, &errOut); code != exitSuccess {
		t.Fatal(errOut.String())
	}
	for _, want := range []string{"2 gave no report (10.0.0.3:80, 127.0.0.1:1)", "himal  total    -     20 "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if code := Run([]string{"cost", "--admin", "127.0.0.1:1"}, &out, &errOut); code != exitFailed {
		t.Error("cost succeeded without any report")
	}
}

func TestExplainPrintsAdminPage(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := Run([]string{"explain", "--admin", serveAdmin(t, "10.0.0.1:80")}, &out, &errOut); code != exitSuccess {
		t.Fatal(errOut.String())
	}
	var got map[string]string
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || got["instance"] != "10.0.0.1:80" {
		t.Error(out.String(), err)
	}
}
