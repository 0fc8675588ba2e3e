package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"oriolecourse.example/oriolecourse/platform/standin"
)

const (
	// healthPath is the health path of all services, host the host of all routes.
	healthPath = "/healthz"
	host       = "ficu95.example"
)

// The bounds of the small deployments.
const (
	memoryMiB = 284
	grace     = 6 * time.Second
)

// site is a small deployment: the platform's store, upstreams and instances.
type site struct {
	folder, program string
	record          *record
	store           *standin.Store
	storeAddress    string
	upstreams       []*upstream
	instances       []*instance
	server          *http.Server
	// firstStore is the proxy through which the first instance reaches the store; nil if it
	// reaches it as the others do.
	firstStore *proxy
}

// route is a route of the configuration. A route has either a service or weights.
type route struct {
	prefix, kind, service string
	weights               map[string]int
	timeout, aim          time.Duration
	priority, attempts    int
}

func newSite(folder, program string, r *record) (*site, error) {
	s := &site{folder: folder, program: program, record: r, store: standin.NewStore()}
	s.store.NameEra(1)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// configure writes a configuration.
func (s *site) configure(version int, services []string, routes ...route) {
	resources := []any{}
	resource := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{"resourceKind": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		spec := map[string]any{
			"host": host, "prefix": r.prefix, "routeType": r.kind, "timeout": ms(r.timeout), "targetLatency": ms(r.aim),
			"priority": r.priority, "maxAttempts": r.attempts,
		}
		if r.service != "" {
			spec["service"] = r.service
		} else {
			split := []any{}
			for name, weight := range r.weights {
				split = append(split, map[string]any{"service": name, "weight": weight})
			}
			spec["trafficSplit"] = split
		}
		resource("routes", "r"+strings.ReplaceAll(r.prefix, "/", "-"), spec)
	}
	for _, name := range services {
		resource("services", name, map[string]any{"healthPath": healthPath, "maxConnections": 240, "protocol": "h1", "tls": false})
	}
	resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"})
	s.store.PutJSON("op/config", map[string]any{"version": fmt.Sprintf("r%d", version), "baseVersion": "r0", "resources": resources})
	s.record.add("operator writes configuration r%d", version)
}

func ms(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// addUpstream starts an upstream and writes its entry.
func (s *site) addUpstream(u *upstream) error {
	u.record = s.record
	if err := startUpstream(u, "127.0.0.1:0"); err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, u)
	s.writeEntry(u, time.Now().UnixMilli())
	return nil
}

// writeEntry writes the entry of an upstream that is ready.
func (s *site) writeEntry(u *upstream, born int64) {
	s.store.PutJSON("servers/"+u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", "warmupLeft": "0ms", "sequence": 1, "born": born,
	})
}

// instance is a process of the system.
type instance struct {
	name, ip, zone string
	settings, log  string
	site           *site
	ports          [4]int
	// store is the address of the store in the settings.
	store string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// asked is when the process was last asked to stop.
	asked time.Time
}

func (i *instance) front() string     { return fmt.Sprintf("%s:%d", i.ip, i.ports[0]) }
func (i *instance) ready() string     { return fmt.Sprintf("%s:%d", i.ip, i.ports[1]) }
func (i *instance) control() string   { return fmt.Sprintf("%s:%d", i.ip, i.ports[2]) }
func (i *instance) directory() string { return fmt.Sprintf("%s:%d", i.ip, i.ports[3]) }

// addInstances adds instances, each on a loopback address of its own, and writes their settings
// files. zones holds the zone of each.
func (s *site) addInstances(zones ...string) error {
	for k, z := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, 10+k)
		i := &instance{name: fmt.Sprintf("front-%s-%d", z, k+1), ip: ip, zone: z, site: s, store: s.storeAddress}
		for p := range i.ports {
			l, err := net.Listen("tcp4", ip+":0")
			if err != nil {
				return err
			}
			i.ports[p] = l.Addr().(*net.TCPAddr).Port
			defer l.Close()
		}
		s.instances = append(s.instances, i)
	}
	seeds := []string{}
	for _, i := range s.instances[:min(3, len(s.instances))] {
		seeds = append(seeds, fmt.Sprintf("%q", i.control()))
	}
	lines := map[string]bool{}
	for _, z := range zones {
		lines[fmt.Sprintf("%s = \"bagmati\"\n", z)] = true
	}
	table := ""
	for l := range lines {
		table += l
	}
	for k, i := range s.instances {
		if k == 0 && s.firstStore != nil {
			i.store = s.firstStore.address()
		}
		i.settings, i.log = filepath.Join(s.folder, i.name+".toml"), filepath.Join(s.folder, i.name+".log")
		if err := os.WriteFile(i.settings, []byte(fmt.Sprintf(settingsText, i.name, i.ip, i.zone, strings.Join(seeds, ","),
			table, i.front(), i.ready(), i.control(), i.directory(), memoryMiB, int(grace.Seconds()), i.store)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

const settingsText = `nodeName = %q
role = "instance"
machineClass = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = "bagmati"
internalPortRange = [7660,7675]
seeds = [%s]
bootstrap = true
inFailureBudget = false
discovery = "platform"
entry = "directory"
heartbeat = "1500ms"
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
[zones]
%s[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.32
cpuCores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLag = "3s"
addrReuse = "2s"
stableWindow = "3000ms"
ack = "4000ms"
catchUp = "4s"
drain = "2000ms"
grace = "%ds"
lossSlack = "200ms"
configApply = "2000ms"
rollbackSlack = "250ms"
maxSkew = "5000ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = 60
recover = "15s"
ttl_max = "5s"
probesPerS = 60
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
history = "20s"
valueBytes = 1048576
ttlMin = "1000ms"
`

// start starts the process by the command of the deploy file.
func (i *instance) start() error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(i.site.program, "platform")
	c.Env = []string{"ORIOLECOURSE_CONFIG=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + i.site.folder}
	c.Stdout, c.Stderr = log, log
	// If the rig itself is killed, the process ends too.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.mutex.Lock()
	i.command, i.ended = c, ended
	i.mutex.Unlock()
	i.site.record.add("%s started", i.name)
	go func() {
		err := c.Wait()
		log.Close()
		i.site.record.add("%s ended: %v", i.name, err)
		i.mutex.Lock()
		i.command = nil
		i.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.command != nil {
		i.site.record.add("%s gets signal %v", i.name, s)
		_ = i.command.Process.Signal(s)
	}
}

// awaitReady waits until all instances are ready.
func (s *site) awaitReady(timeout time.Duration) error {
	client := standin.Client(time.Second)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range s.instances {
			a, err := client.Get("http://" + i.ready() + "/api/readyz")
			if err != nil {
				continue
			}
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.instances) {
			s.record.add("all %d instances are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready within %s", timeout)
}

// close ends all processes.
func (s *site) close() {
	for _, i := range s.instances {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range s.instances {
		i.mutex.Lock()
		ended := i.ended
		i.mutex.Unlock()
		if ended != nil {
			<-ended
		}
	}
	for _, u := range s.upstreams {
		u.listener.Close()
	}
	s.server.Close()
}

// lastSignal returns when the process was last asked to stop, or zero.
func (i *instance) lastSignal() time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.asked
}

// restart stops the process with SIGTERM, kills it after the grace period if it still runs, and
// starts it again, as the platform does.
func (i *instance) restart() {
	i.mutex.Lock()
	ended := i.ended
	i.asked = time.Now()
	i.mutex.Unlock()
	i.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-ended
	}
	if err := i.setStartedBefore(); err != nil {
		i.site.record.add("%s: %v", i.name, err)
	}
	if err := i.start(); err != nil {
		i.site.record.add("%s: %v", i.name, err)
	}
}

// setStartedBefore changes the settings to those of a system that has started before.
func (i *instance) setStartedBefore() error {
	text, err := os.ReadFile(i.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, bytes.Replace(text, []byte("bootstrap = true"), []byte("bootstrap = false"), 1), 0o600)
}
