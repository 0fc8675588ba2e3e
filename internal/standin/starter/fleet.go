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
	// Tree is the settings tree that is published before targets and instances start.
	Tree string
	// Place is the place of all targets and instances. Service is the service of all
	// targets.
	Place, Service string
	Targets        int
	Instances      int
	// TargetArgs and InstanceArgs are appended to the arguments of each target and
	// instance.
	TargetArgs, InstanceArgs []string
}

// Instance is one process of the load balancer with its addresses.
type Instance struct {
	*Process
	// Entry is the entry in the platform's list.
	Entry lister.Instance
	// Admin is the address of the interface for operators.
	Admin netip.AddrPort
}

// Target is one target process.
type Target struct {
	*Process
	Address netip.AddrPort
}

// Fleet is a set of processes for a test: a platform, a recorder, targets and instances.
type Fleet struct {
	Config Config
	// Platform and Recorder are the addresses of these stand-ins.
	Platform  netip.AddrPort
	Recorder  netip.AddrPort
	Targets   []*Target
	Instances []*Instance
	// PlatformProcess is the platform's process.
	PlatformProcess *Process
}

// zones holds the availability zones, which are assigned round-robin to targets and
// to instances.
var zones = []string{"a", "b", "c"}

// NewFleet starts all processes and waits until every instance is healthy.
func NewFleet(t testing.TB, c Config) *Fleet {
	t.Helper()
	ports := FreeAddresses(t, 2)
	f := &Fleet{Config: c, Platform: ports[0], Recorder: ports[1]}
	f.PlatformProcess = Start(t, "platform", Standin, "platform", "--address", f.Platform.String())
	Start(t, "recorder", Standin, "recorder", "--address", f.Recorder.String())
	f.awaitOK(t, f.Platform, "/admin/calls")
	f.awaitOK(t, f.Recorder, "/record")
	f.PublishSettings(t, c.Tree)
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

// awaitOK waits until a GET request is answered with status 200.
func (f *Fleet) awaitOK(t testing.TB, address netip.AddrPort, path string) {
	t.Helper()
	Eventually(t, startTimeout, address.String()+path+" returns status 200", func() bool {
		_, status, err := Call(http.MethodGet, address, path, "")
		return err == nil && status == http.StatusOK
	})
}

// AwaitInstance waits until the instance is healthy.
func (f *Fleet) AwaitInstance(t testing.TB, i *Instance) {
	t.Helper()
	f.awaitOK(t, i.Admin, "/healthz")
}

// AddTarget starts one more target, which registers at the platform.
func (f *Fleet) AddTarget(t testing.TB) *Target {
	t.Helper()
	n := len(f.Targets)
	target := &Target{Address: FreeAddresses(t, 1)[0]}
	args := append([]string{
		"target", "--address", target.Address.String(), "--recorder", f.Recorder.String(),
		"--platform", "http://" + f.Platform.String(), "--place", f.Config.Place,
		"--service", f.Config.Service, "--zone", zones[n%len(zones)], "--seed", fmt.Sprint(n + 1),
	}, f.Config.TargetArgs...)
	target.Process = Start(t, fmt.Sprintf("target %d", n), Standin, args...)
	f.awaitOK(t, target.Address, "/health")
	f.Targets = append(f.Targets, target)
	return target
}

// AddInstance publishes the list entry of one more instance and starts it. It does not
// wait until the instance is healthy.
func (f *Fleet) AddInstance(t testing.TB) *Instance {
	t.Helper()
	n := len(f.Instances)
	ports := FreeAddresses(t, 3)
	i := &Instance{Admin: ports[2], Entry: lister.Instance{
		Address: ports[0], Peer: ports[1], Place: f.Config.Place, Zone: zones[n%len(zones)], State: lister.Live,
	}}
	f.PublishInstance(t, i.Entry)
	i.Process = f.startInstance(t, n, i)
	f.Instances = append(f.Instances, i)
	return i
}

// Restart starts instance n, which must have ended, again at the same addresses.
func (f *Fleet) Restart(t testing.TB, n int) {
	t.Helper()
	f.Instances[n].Process = f.startInstance(t, n, f.Instances[n])
}

// startInstance starts the process of instance n. Its seeds are all other instances
// that have been added so far.
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
	return Start(t, fmt.Sprintf("instance %d", n), Balancer, args...)
}

// PublishInstance publishes an instance in the platform's list.
func (f *Fleet) PublishInstance(t testing.TB, i lister.Instance) {
	t.Helper()
	f.mustCall(t, http.MethodPost, f.Platform, "/admin/instances", encode(t, i))
}

// PublishSettings publishes a settings tree.
func (f *Fleet) PublishSettings(t testing.TB, tree string) {
	t.Helper()
	f.mustCall(t, http.MethodPut, f.Platform, "/admin/settings", tree)
}

// InjectFault switches on the named fault of the stand-in at the address.
func (f *Fleet) InjectFault(t testing.TB, address netip.AddrPort, name, parameters string) {
	t.Helper()
	f.mustCall(t, http.MethodPut, address, "/fault/"+name, parameters)
}

// ClearFault switches off the named fault of the stand-in at the address.
func (f *Fleet) ClearFault(t testing.TB, address netip.AddrPort, name string) {
	t.Helper()
	f.mustCall(t, http.MethodDelete, address, "/fault/"+name, "")
}

// RecordedEvents returns the events that the targets have reported to the recorder.
func (f *Fleet) RecordedEvents(t testing.TB) []recorder.Event {
	t.Helper()
	text := f.mustCall(t, http.MethodGet, f.Recorder, "/record", "")
	events, err := recorder.ParseEvents(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// mustCall makes an HTTP call and returns the response body. A failure ends the test.
func (*Fleet) mustCall(t testing.TB, method string, address netip.AddrPort, path, body string) []byte {
	t.Helper()
	text, status, err := Call(method, address, path, body)
	if err != nil || status >= http.StatusBadRequest {
		t.Fatalf("%s %s%s failed: status %d, error %v: %s", method, address, path, status, err, text)
	}
	return text
}

// client is shared by all calls of a test process, so that they reuse connections.
var client = &http.Client{Timeout: 10 * time.Second}

// Call makes one HTTP call and returns the body and the status of the response.
func Call(method string, address netip.AddrPort, path, body string) ([]byte, int, error) {
	request, err := http.NewRequest(method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return text, response.StatusCode, err
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

// Explain returns the state of the instance, and whether the request for it succeeded.
func (i *Instance) Explain() (assembler.Explanation, bool) {
	var e assembler.Explanation
	text, status, err := Call(http.MethodGet, i.Admin, "/v1/explain", "")
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &e) != nil {
		return e, false
	}
	return e, true
}

// BlockPeers blocks the exchange of messages between two instances in both directions.
func (f *Fleet) BlockPeers(t testing.TB, one, other *Instance) {
	t.Helper()
	f.mustCall(t, http.MethodPut, one.Admin, "/v1/cuts/"+other.Entry.Peer.String(), "")
	f.mustCall(t, http.MethodPut, other.Admin, "/v1/cuts/"+one.Entry.Peer.String(), "")
}

// CallerAddresses returns the addresses at which the instances serve callers.
func CallerAddresses(instances ...*Instance) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, i := range instances {
		addresses = append(addresses, i.Entry.Address)
	}
	return addresses
}

// StartLoad sends a load in the background and returns a channel that receives the
// result.
func StartLoad(t testing.TB, s loader.Settings) <-chan *loader.Result {
	t.Helper()
	results := make(chan *loader.Result, 1)
	go func() {
		defer close(results)
		result, err := loader.Run(t.Context(), s)
		if err != nil {
			t.Errorf("running the load failed: %v", err)
			result = &loader.Result{}
		}
		results <- result
	}()
	return results
}

// ServedRequests returns the number of requests in the cost report of the instance.
func (i *Instance) ServedRequests(t testing.TB) int64 {
	t.Helper()
	var r accountant.Report
	text, status, err := Call(http.MethodGet, i.Admin, "/v1/cost", "")
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &r) != nil {
		t.Fatalf("%s returned no valid cost report: status %d, error %v", i.Name, status, err)
	}
	served := int64(0)
	for _, l := range r.Lines {
		served += l.Requests
	}
	return served
}
