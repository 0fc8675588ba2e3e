package relayer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// The environment variables of the measurement.
const (
	// scaleVariable asks for the measurement, which takes minutes.
	scaleVariable = "ORIOLE_SCALE"
	// nodeVariable holds the scaleNode of a process that the measurement starts.
	nodeVariable = "ORIOLE_SCALE_NODE"
)

const (
	// scaleServices is the number of services of a place whose rates are told.
	scaleServices = 42
	// scaleTelling is the time after which a rate is told again.
	scaleTelling = 40 * time.Second
	// scaleWindow covers one telling of each rate.
	scaleWindow = scaleTelling
	// scaleSettle is the time in which the news of the joins is sent out.
	scaleSettle = time.Minute
	scaleText   = 200 << 10
)

// scaleNode says what one process of the measurement runs.
type scaleNode struct {
	Peer  netip.AddrPort
	Place string
	Seeds []netip.AddrPort
	// Services is the number of services whose rate the process tells.
	Services int
}

// scaleReport is one line from a process: an event or, when asked, its usage.
type scaleReport struct {
	Event string
	Peer  netip.AddrPort
	At    time.Time

	Alive    int
	CPU      time.Duration
	Memory   int64
	Messages uint64
	Bytes    uint64
}

func TestMain(m *testing.M) {
	if text := os.Getenv(nodeVariable); text != "" {
		runScaleNode(text)
		return
	}
	os.Exit(m.Run())
}

// runScaleNode runs one instance until its input ends. A line of input asks for
// the usage, or publishes a document.
func runScaleNode(text string) {
	n := scaleNode{}
	if err := json.Unmarshal([]byte(text), &n); err != nil {
		panic(err)
	}
	reports := make(chan scaleReport, 1024)
	settings := atomic.Pointer[[]byte]{}
	settings.Store(scaleDocument(1))
	r := New(Options{
		Self:        lister.Instance{Address: n.Peer, Peer: n.Peer, Place: n.Place, Zone: "a", State: lister.Live},
		Incarnation: rand.Uint64() | 1,
		Seeds:       n.Seeds,
		Keys:        func() framer.Keys { return testKeys },
		Documents: func(kind DocumentKind) (uint64, uint64, []byte) {
			text := *settings.Load()
			version, digest := uint64(text[0]), uint64(0)
			if kind != Settings {
				return 0, 0, nil
			}
			return version, digest, text
		},
		OfferDocument: func(_ DocumentKind, text []byte, now time.Time) bool {
			settings.Store(&text)
			reports <- scaleReport{Event: "adopted", At: now}
			return true
		},
		OnMembersChange: func(_ []detector.Member, changes []detector.Change) {
			for _, c := range changes {
				reports <- scaleReport{Event: c.Member.State.String(), Peer: c.Member.Instance.Peer, At: time.Now()}
			}
		},
	})
	go r.Run()
	go tellRates(r, n)
	go func() {
		for o := range reports {
			json.NewEncoder(os.Stdout).Encode(o)
		}
	}()
	for s := bufio.NewScanner(os.Stdin); s.Scan(); {
		if s.Text() == "publish" {
			settings.Store(scaleDocument(2))
			r.Announce()
		}
		reports <- usage(r)
	}
}

// tellRates spreads the rates of the services that the process is home of.
func tellRates(r *Relayer, n scaleNode) {
	for {
		for i := range n.Services {
			r.Spread(Rumor{Topic: Load, Place: n.Place, Service: fmt.Sprint("service", i), Instance: n.Peer, Rate: 100}, time.Now())
		}
		time.Sleep(scaleTelling)
	}
}

// scaleDocument returns a text that compresses about as well as a settings tree.
func scaleDocument(version byte) *[]byte {
	text := []byte{version}
	for i := 0; len(text) < scaleText; i++ {
		text = fmt.Appendf(text, "      service%d:\n        settings: {slots: %d, rate: %d}\n", i, i%4, rand.IntN(1000))
	}
	return &text
}

func usage(r *Relayer) scaleReport {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	o := scaleReport{Event: "usage", At: time.Now(), CPU: time.Duration(u.Utime.Nano() + u.Stime.Nano()), Memory: peakMemory()}
	for _, m := range r.Members() {
		if m.State == detector.Alive {
			o.Alive++
		}
	}
	for _, t := range r.Traffic() {
		o.Messages += t.MessagesSent + t.MessagesReceived
		o.Bytes += t.BytesSent + t.BytesReceived
	}
	return o
}

// peakMemory returns the largest resident size in bytes. The one that getrusage
// gives starts from that of the process that started this one.
func peakMemory() int64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		panic(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes := int64(0)
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		panic(err)
	}
	return kilobytes << 10
}

// process is one started process of the measurement.
type process struct {
	command *exec.Cmd
	peer    netip.AddrPort
	ask     func(string)
	reports chan scaleReport
}

func startProcess(t *testing.T, n scaleNode) *process {
	text, err := json.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), nodeVariable+"="+string(text), "GOMAXPROCS=2")
	in, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{command: c, peer: n.Peer, reports: make(chan scaleReport, 1<<14)}
	p.ask = func(line string) { fmt.Fprintln(in, line) }
	go func() {
		defer close(p.reports)
		for s := bufio.NewScanner(out); s.Scan(); {
			o := scaleReport{}
			if json.Unmarshal(s.Bytes(), &o) == nil {
				p.reports <- o
			}
		}
	}()
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	return p
}

// until returns the first report that is wanted, or none after a while.
func (p *process) until(wait time.Duration, want func(scaleReport) bool) (scaleReport, bool) {
	timeout := time.After(wait)
	for {
		select {
		case o, open := <-p.reports:
			if open && want(o) {
				return o, true
			}
			if !open {
				return o, false
			}
		case <-timeout:
			return scaleReport{}, false
		}
	}
}

func (p *process) usage(t *testing.T) scaleReport {
	p.ask("usage")
	o, found := p.until(patience, func(o scaleReport) bool { return o.Event == "usage" })
	if !found {
		t.Fatalf("%s does not answer", p.peer)
	}
	return o
}

// times collects when each process first reports an event, since a moment.
func times(processes []*process, since time.Time, want func(scaleReport) bool) string {
	var all []time.Duration
	for _, p := range processes {
		if o, found := p.until(patience, want); found {
			all = append(all, o.At.Sub(since))
		}
	}
	slices.Sort(all)
	if len(all) == 0 {
		return "none"
	}
	return fmt.Sprintf("%.2f/%.2f s (%d of %d)", all[len(all)/2].Seconds(), all[len(all)-1].Seconds(), len(all), len(processes))
}

func TestScale(t *testing.T) {
	if os.Getenv(scaleVariable) == "" {
		t.Skipf("set %s=1 to measure fleets of processes", scaleVariable)
	}
	fmt.Println("| instances | places | messages/s | bytes/s | CPU, % of a core | memory, MB | suspected p50/max | failed p50/max | document p50/max |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ instances, places int }{{16, 1}, {48, 1}, {96, 1}, {96, 5}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { measure(t, size.instances, size.places) })
	}
}

// measure prints one row: means over the processes in a calm window, then the
// time until a killed process is suspected and failed, and the time until all
// hold a new document. Bytes are those of frames in both directions.
func measure(t *testing.T, count, places int) {
	var processes []*process
	var seeds []netip.AddrPort
	for i := range count {
		a := freeAddress(t)
		p := startProcess(t, scaleNode{
			Peer: a, Place: fmt.Sprint("place", i%places), Seeds: seeds,
			Services: (scaleServices*places + i) / count,
		})
		processes = append(processes, p)
		if len(seeds) < 3 {
			seeds = append(seeds, a)
		}
	}
	for _, p := range processes {
		eventually(t, "all to know all", func() bool { return p.usage(t).Alive == count-1 })
	}
	time.Sleep(scaleSettle)
	before := make([]scaleReport, count)
	for i, p := range processes {
		before[i] = p.usage(t)
	}
	time.Sleep(scaleWindow)
	row := scaleReport{}
	for i, p := range processes {
		o := p.usage(t)
		row.CPU += o.CPU - before[i].CPU
		row.Messages += o.Messages - before[i].Messages
		row.Bytes += o.Bytes - before[i].Bytes
		row.Memory += o.Memory
	}

	victim := processes[count-1]
	processes = processes[:count-1]
	killed := time.Now()
	victim.command.Process.Kill()
	state := func(name string) string {
		return times(processes, killed, func(o scaleReport) bool { return o.Event == name && o.Peer == victim.peer })
	}
	suspected, failed := state("suspect"), state("failed")
	published := time.Now()
	processes[0].ask("publish")
	spread := times(processes[1:], published, func(o scaleReport) bool { return o.Event == "adopted" })

	mean := func(total float64) float64 { return total / float64(count) }
	second := func(total float64) float64 { return mean(total) / scaleWindow.Seconds() }
	fmt.Println("| " + strings.Join([]string{
		fmt.Sprint(count), fmt.Sprint(places),
		fmt.Sprintf("%.1f", second(float64(row.Messages))),
		fmt.Sprintf("%.0f", second(float64(row.Bytes))),
		fmt.Sprintf("%.2f", 100*second(row.CPU.Seconds())),
		fmt.Sprintf("%.1f", mean(float64(row.Memory)/(1<<20))),
		suspected, failed, spread,
	}, " | ") + " |")
}
