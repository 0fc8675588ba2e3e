package starter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/assembler"
	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// Config describes a fleet.
type Config struct {
	// Tree is the settings tree that the platform publishes first.
	Tree string
	// Place and Service are those of all targets.
	Place, Service string
	Targets        int
	Instances      int
	// TargetArgs and InstanceArgs are added to the arguments of each.
	TargetArgs, InstanceArgs []string
}

// Instance is one process of the system with its addresses.
type Instance struct {
	*Process
	Entry lister.Instance
	Admin netip.AddrPort
}

// Target is one target process.
type Target struct {
	*Process
	Address netip.AddrPort
}

// Fleet is a platform, a recorder, targets and instances.
type Fleet struct {
	Config    Config
	Platform  netip.AddrPort
	Recorder  netip.AddrPort
	Targets   []*Target
	Instances []*Instance
	// PlatformProcess is the platform's process.
	PlatformProcess *Process
}

// zones are given to targets and instances in turn.
var zones = []string{"a", "b", "c"}

// NewFleet starts all processes and waits until every instance is healthy.
func NewFleet(t testing.TB, c Config) *Fleet {
	t.Helper()
	ports := Ports(t, 2)
	f := &Fleet{Config: c, Platform: ports[0], Recorder: ports[1]}
	f.PlatformProcess = Start(t, "platform", Standin, "platform", "--address", f.Platform.String())
	Start(t, "recorder", Standin, "recorder", "--address", f.Recorder.String())
	f.await(t, f.Platform, "/admin/calls")
	f.await(t, f.Recorder, "/record")
	f.Publish(t, c.Tree)
	for range c.Targets {
		f.AddTarget(t)
	}
	for range c.Instances {
		f.AddInstance(t)
	}
	for _, i := range f.Instances {
		f.AwaitInstance(t, i)
	}
	return f
}

// await waits until a GET succeeds.
func (f *Fleet) await(t testing.TB, address netip.AddrPort, path string) {
	t.Helper()
	Eventually(t, startTimeout, address.String()+path+" answers", func() bool {
		_, status, err := Call(http.MethodGet, address, path, "")
		return err == nil && status == http.StatusOK
	})
}

// AwaitInstance waits until an instance is healthy.
func (f *Fleet) AwaitInstance(t testing.TB, i *Instance) {
	t.Helper()
	f.await(t, i.Admin, "/healthz")
}

// AddTarget starts and lists one more target.
func (f *Fleet) AddTarget(t testing.TB) *Target {
	t.Helper()
	n := len(f.Targets)
	target := &Target{Address: Ports(t, 1)[0]}
	args := append([]string{
		"target", "--address", target.Address.String(), "--recorder", f.Recorder.String(),
		"--platform", "http://" + f.Platform.String(), "--place", f.Config.Place,
		"--service", f.Config.Service, "--zone", zones[n%len(zones)], "--seed", fmt.Sprint(n + 1),
	}, f.Config.TargetArgs...)
	target.Process = Start(t, fmt.Sprintf("target %d", n), Standin, args...)
	f.await(t, target.Address, "/health")
	f.Targets = append(f.Targets, target)
	return target
}

// AddInstance lists and starts one more instance.
func (f *Fleet) AddInstance(t testing.TB) *Instance {
	t.Helper()
	n := len(f.Instances)
	ports := Ports(t, 3)
	i := &Instance{Admin: ports[2], Entry: lister.Instance{
		Address: ports[0], Peer: ports[1], Place: f.Config.Place, Zone: zones[n%len(zones)], State: lister.Live,
	}}
	f.List(t, i.Entry)
	i.Process = f.startInstance(t, n, i)
	f.Instances = append(f.Instances, i)
	return i
}

// Restart starts an ended instance again at the same addresses.
func (f *Fleet) Restart(t testing.TB, n int) {
	t.Helper()
	f.Instances[n].Process = f.startInstance(t, n, f.Instances[n])
}

// startInstance runs the process of an instance; its seeds are all others.
func (f *Fleet) startInstance(t testing.TB, n int, i *Instance) *Process {
	t.Helper()
	var seeds []string
	for _, other := range f.Instances {
		if other.Entry.Peer != i.Entry.Peer {
			seeds = append(seeds, other.Entry.Peer.String())
		}
	}
	args := append([]string{
		"serve", "--address", i.Entry.Address.String(), "--peer", i.Entry.Peer.String(),
		"--admin", i.Admin.String(), "--place", i.Entry.Place, "--zone", i.Entry.Zone,
		"--platform", "http://" + f.Platform.String(), "--seeds", strings.Join(seeds, ","),
		"--keys", strings.Repeat("5a", 32),
	}, f.Config.InstanceArgs...)
	return Start(t, fmt.Sprintf("instance %d", n), System, args...)
}

// List publishes an entry of an instance.
func (f *Fleet) List(t testing.TB, i lister.Instance) {
	t.Helper()
	f.must(t, http.MethodPost, f.Platform, "/admin/instances", encode(t, i))
}

// Publish publishes a settings tree.
func (f *Fleet) Publish(t testing.TB, tree string) {
	t.Helper()
	f.must(t, http.MethodPut, f.Platform, "/admin/settings", tree)
}

// Fault switches a named fault of a stand-in on.
func (f *Fleet) Fault(t testing.TB, address netip.AddrPort, name, parameters string) {
	t.Helper()
	f.must(t, http.MethodPut, address, "/fault/"+name, parameters)
}

// Mend switches a named fault of a stand-in off.
func (f *Fleet) Mend(t testing.TB, address netip.AddrPort, name string) {
	t.Helper()
	f.must(t, http.MethodDelete, address, "/fault/"+name, "")
}

// Record returns what the targets ran so far.
func (f *Fleet) Record(t testing.TB) []recorder.Event {
	t.Helper()
	text := f.must(t, http.MethodGet, f.Recorder, "/record", "")
	events, err := recorder.ParseEvents(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// must makes a call that has to succeed.
func (*Fleet) must(t testing.TB, method string, address netip.AddrPort, path, body string) []byte {
	t.Helper()
	text, status, err := Call(method, address, path, body)
	if err != nil || status >= http.StatusBadRequest {
		t.Fatalf("%s %s%s: status %d, %v: %s", method, address, path, status, err, text)
	}
	return text
}

// client is shared by all calls of a test.
var client = &http.Client{Timeout: 10 * time.Second}

// Call makes one HTTP call and returns the whole answer.
func Call(method string, address netip.AddrPort, path, body string) ([]byte, int, error) {
	request, err := http.NewRequest(method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return text, answer.StatusCode, err
}

// encode returns a value as JSON.
func encode(t testing.TB, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Explain returns what an instance believes, and whether it could be asked.
func (i *Instance) Explain() (assembler.Explanation, bool) {
	var e assembler.Explanation
	text, status, err := Call(http.MethodGet, i.Admin, "/v1/explain", "")
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &e) != nil {
		return e, false
	}
	return e, true
}

// Cut forbids the exchange between two instances, both ways.
func (f *Fleet) Cut(t testing.TB, one, other *Instance) {
	t.Helper()
	f.must(t, http.MethodPut, one.Admin, "/v1/cuts/"+other.Entry.Peer.String(), "")
	f.must(t, http.MethodPut, other.Admin, "/v1/cuts/"+one.Entry.Peer.String(), "")
}

// Callers returns the callers' addresses of some instances.
func Callers(instances ...*Instance) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, i := range instances {
		addresses = append(addresses, i.Entry.Address)
	}
	return addresses
}

// Load sends a load in the background; the channel gives the result.
func Load(t testing.TB, s loader.Settings) <-chan *loader.Result {
	t.Helper()
	results := make(chan *loader.Result, 1)
	go func() {
		defer close(results)
		result, err := loader.Run(t.Context(), s)
		if err != nil {
			t.Errorf("the load failed: %v", err)
			result = &loader.Result{}
		}
		results <- result
	}()
	return results
}

// Served returns the number of requests that an instance has accounted for.
func (i *Instance) Served(t testing.TB) int64 {
	t.Helper()
	var r accountant.Report
	text, status, err := Call(http.MethodGet, i.Admin, "/v1/cost", "")
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &r) != nil {
		t.Fatalf("%s gives no accounts: status %d, %v", i.Name, status, err)
	}
	served := int64(0)
	for _, l := range r.Lines {
		served += l.Requests
	}
	return served
}
