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
	// scaleEnv enables the measurement, which takes minutes.
	scaleEnv = "ORIOLE_SCALE"
	// nodeEnv holds the JSON of the scaleNode that a started process runs.
	nodeEnv = "ORIOLE_SCALE_NODE"
)

const (
	// scaleServices is the number of services per place whose rates are spread.
	scaleServices = 42
	// rateInterval is the time after which a rate is spread again.
	rateInterval = 40 * time.Second
	// measureWindow is long enough for each rate to be spread once.
	measureWindow = rateInterval
	// settleTime is the time in which the updates about new members spread.
	settleTime = time.Minute
	// scaleDocumentBytes is the size of the uncompressed document.
	scaleDocumentBytes = 200 << 10
)

// scaleNode configures the instance that one process of the measurement runs.
type scaleNode struct {
	Peer  netip.AddrPort
	Place string
	Seeds []netip.AddrPort
	// Services is the number of services whose home the process is. It spreads their
	// rates.
	Services int
}

// scaleReport is one line of output of a process: an event, or its usage on request.
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
	if text := os.Getenv(nodeEnv); text != "" {
		runScaleNode(text)
		return
	}
	os.Exit(m.Run())
}

// runScaleNode runs one instance until its input ends. Each line of input requests
// the usage. The line "publish" also publishes a new document.
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
		Incarnation: rand.Uint64() | 1, // not 0
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
	go spreadRates(r, n)
	go func() {
		for report := range reports {
			json.NewEncoder(os.Stdout).Encode(report)
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

// spreadRates spreads the rates of the services whose home the process is, every
// rateInterval.
func spreadRates(r *Relayer, n scaleNode) {
	for {
		for i := range n.Services {
			r.Spread(Rumor{Topic: Load, Place: n.Place, Service: fmt.Sprint("service", i), Instance: n.Peer, Rate: 100}, time.Now())
		}
		time.Sleep(rateInterval)
	}
}

// scaleDocument returns a text that compresses to about the same ratio as a settings
// tree.
func scaleDocument(version byte) *[]byte {
	text := []byte{version}
	for i := 0; len(text) < scaleDocumentBytes; i++ {
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

// peakMemory returns the largest resident set size in bytes. The value of getrusage
// is not used, because it starts at that of the parent process.
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

// scaleProcess is a process that the measurement has started.
type scaleProcess struct {
	command *exec.Cmd
	peer    netip.AddrPort
	send    func(string)
	reports chan scaleReport
}

func startScaleProcess(t *testing.T, n scaleNode) *scaleProcess {
	text, err := json.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), nodeEnv+"="+string(text), "GOMAXPROCS=2")
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
	p := &scaleProcess{command: c, peer: n.Peer, reports: make(chan scaleReport, 1<<14)}
	p.send = func(line string) { fmt.Fprintln(in, line) }
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

// waitForReport returns the first report that matches, or false if the process ends
// or no report matches within the wait.
func (p *scaleProcess) waitForReport(wait time.Duration, matches func(scaleReport) bool) (scaleReport, bool) {
	timeout := time.After(wait)
	for {
		select {
		case o, open := <-p.reports:
			if open && matches(o) {
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

func (p *scaleProcess) usage(t *testing.T) scaleReport {
	p.send("usage")
	o, found := p.waitForReport(waitTimeout, func(o scaleReport) bool { return o.Event == "usage" })
	if !found {
		t.Fatalf("process of %s does not report its usage", p.peer)
	}
	return o
}

// eventTimes returns the median and maximum time until each process first reports a
// matching event, measured from since.
func eventTimes(processes []*scaleProcess, since time.Time, matches func(scaleReport) bool) string {
	var all []time.Duration
	for _, p := range processes {
		if o, found := p.waitForReport(waitTimeout, matches); found {
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
	if os.Getenv(scaleEnv) == "" {
		t.Skipf("set %s=1 to measure fleets of processes", scaleEnv)
	}
	fmt.Println("| instances | places | messages/s | bytes/s | CPU, % of a core | memory, MB | suspected p50/max | failed p50/max | document p50/max |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ instances, places int }{{16, 1}, {48, 1}, {96, 1}, {96, 5}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { measure(t, size.instances, size.places) })
	}
}

// measure prints one row of the table. It has the means over the processes in a
// window without membership changes and new documents, then the times until a killed
// process is suspected and failed, and the times until the other instances adopt a new
// document. Bytes counts frames in both directions.
func measure(t *testing.T, instances, places int) {
	var processes []*scaleProcess
	var seeds []netip.AddrPort
	for i := range instances {
		a := freeAddress(t)
		p := startScaleProcess(t, scaleNode{
			Peer: a, Place: fmt.Sprint("place", i%places), Seeds: seeds,
			Services: (scaleServices*places + i) / instances,
		})
		processes = append(processes, p)
		if len(seeds) < 3 {
			seeds = append(seeds, a)
		}
	}
	for _, p := range processes {
		eventually(t, "each instance to know all others", func() bool { return p.usage(t).Alive == instances-1 })
	}
	time.Sleep(settleTime)
	before := make([]scaleReport, instances)
	for i, p := range processes {
		before[i] = p.usage(t)
	}
	time.Sleep(measureWindow)
	total := scaleReport{}
	for i, p := range processes {
		o := p.usage(t)
		total.CPU += o.CPU - before[i].CPU
		total.Messages += o.Messages - before[i].Messages
		total.Bytes += o.Bytes - before[i].Bytes
		total.Memory += o.Memory
	}

	victim := processes[instances-1]
	processes = processes[:instances-1]
	killed := time.Now()
	victim.command.Process.Kill()
	stateTimes := func(name string) string {
		return eventTimes(processes, killed, func(o scaleReport) bool { return o.Event == name && o.Peer == victim.peer })
	}
	suspectTimes, failTimes := stateTimes("suspect"), stateTimes("failed")
	published := time.Now()
	processes[0].send("publish")
	adoptTimes := eventTimes(processes[1:], published, func(o scaleReport) bool { return o.Event == "adopted" })

	mean := func(sum float64) float64 { return sum / float64(instances) }
	perSecond := func(sum float64) float64 { return mean(sum) / measureWindow.Seconds() }
	fmt.Println("| " + strings.Join([]string{
		fmt.Sprint(instances), fmt.Sprint(places),
		fmt.Sprintf("%.1f", perSecond(float64(total.Messages))),
		fmt.Sprintf("%.0f", perSecond(float64(total.Bytes))),
		fmt.Sprintf("%.2f", 100*perSecond(total.CPU.Seconds())),
		fmt.Sprintf("%.1f", mean(float64(total.Memory)/(1<<20))),
		suspectTimes, failTimes, adoptTimes,
	}, " | ") + " |")
}
