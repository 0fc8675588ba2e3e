package relayer

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// patience bounds every wait; a test that fails takes this long.
const patience = 20 * time.Second

// testPeriod is the time between pings in tests. Its timeouts exceed the delays of
// a machine that other work keeps busy.
const testPeriod = 150 * time.Millisecond

var testKeys = framer.Keys{{ID: "a", Secret: []byte("0123456789abcdef")}}

// node is one relayer with the parts that it is wired to.
type node struct {
	*Relayer
	settings atomic.Pointer[[]byte]
	cut      atomic.Pointer[map[netip.AddrPort]bool]
	mutex    sync.Mutex
	heard    []Rumor
	executed atomic.Int64
}

// addresses counts the addresses handed out.
var addresses atomic.Uint32

// freeAddress returns an address that nothing else uses: each one has a loopback
// IP number of its own, and connections that others dial come from 127.0.0.1.
func freeAddress(testing.TB) netip.AddrPort {
	n, pid := addresses.Add(1), os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&63), byte(pid), byte(n)})
	return netip.AddrPortFrom(ip, uint16(20000+n>>8))
}

// textOf returns a settings text whose first bytes are its version.
func textOf(version uint64) *[]byte {
	text := binary.BigEndian.AppendUint64(nil, version)
	text = append(text, make([]byte, 1000)...)
	return &text
}

func versionOf(text []byte) (version, digest uint64) {
	h := fnv.New64a()
	h.Write(text)
	return binary.BigEndian.Uint64(text), h.Sum64()
}

// offer takes a higher version, as the adopter does.
func (n *node) offer(kind DocumentKind, text []byte, _ time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	before, _ := versionOf(*n.settings.Load())
	after, _ := versionOf(text)
	if kind != Settings || after <= before {
		return false
	}
	n.settings.Store(&text)
	return true
}

func (n *node) version() uint64 {
	v, _ := versionOf(*n.settings.Load())
	return v
}

func (n *node) rumors() []Rumor {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]Rumor(nil), n.heard...)
}

func startNode(t testing.TB, peer netip.AddrPort, period time.Duration, seeds ...netip.AddrPort) *node {
	n := &node{}
	n.settings.Store(textOf(1))
	n.cut.Store(&map[netip.AddrPort]bool{})
	n.Relayer = New(Options{
		Self:        lister.Instance{Address: peer, Peer: peer, Place: "himal", Zone: "a", State: lister.Live},
		Incarnation: rand.Uint64() | 1,
		Seeds:       seeds,
		Keys:        func() framer.Keys { return testKeys },
		Period:      period,
		Documents: func(kind DocumentKind) (uint64, uint64, []byte) {
			if kind != Settings {
				return 0, 0, nil
			}
			text := *n.settings.Load()
			v, d := versionOf(text)
			return v, d, text
		},
		OfferDocument: n.offer,
		OnRumor: func(r Rumor, _ time.Time) {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.heard = append(n.heard, r)
		},
		Execute: func(_ context.Context, o Operation) Outcome {
			n.executed.Add(1)
			return Outcome{Status: 200, Body: o.Body}
		},
		Allow: func(a netip.AddrPort) bool { return !(*n.cut.Load())[a] },
	})
	go func() {
		if err := n.Run(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { n.Stop(); <-n.Done() })
	return n
}

func startFleet(t testing.TB, count int, period time.Duration) []*node {
	var nodes []*node
	var seeds []netip.AddrPort
	for range count {
		a := freeAddress(t)
		nodes = append(nodes, startNode(t, a, period, seeds...))
		if len(seeds) < 3 {
			seeds = append(seeds, a)
		}
	}
	for _, n := range nodes {
		eventually(t, "all to know all", func() bool { return n.count(detector.Alive) == count-1 })
	}
	return nodes
}

func (n *node) count(s detector.State) int {
	found := 0
	for _, m := range n.Members() {
		if m.State == s {
			found++
		}
	}
	return found
}

func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if is() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}

// split cuts the links between two sides in both directions, or none when empty.
func split(left, right []*node) {
	for _, side := range [][2][]*node{{left, right}, {right, left}} {
		cut := map[netip.AddrPort]bool{}
		for _, n := range side[1] {
			cut[n.options.Self.Peer] = true
		}
		for _, n := range side[0] {
			n.cut.Store(&cut)
		}
	}
}

func TestDocumentReachesAll(t *testing.T) {
	nodes := startFleet(t, 8, testPeriod)
	nodes[3].settings.Store(textOf(9))
	nodes[3].Announce()
	for _, n := range nodes {
		eventually(t, "version 9", func() bool { return n.version() == 9 })
	}
}

func TestPartitionHealsAndHigherVersionWins(t *testing.T) {
	nodes := startFleet(t, 6, testPeriod)
	left, right := nodes[:3], nodes[3:]
	split(left, right)
	for _, n := range nodes {
		eventually(t, "the other side to be out of reach", func() bool { return n.count(detector.Failed) == 3 })
	}
	left[0].settings.Store(textOf(5))
	left[0].Announce()
	right[0].settings.Store(textOf(6))
	right[0].Announce()
	eventually(t, "version 5 on its side", func() bool { return left[2].version() == 5 })
	eventually(t, "version 6 on its side", func() bool { return right[2].version() == 6 })
	split(nil, nodes)
	for _, n := range nodes {
		n.cut.Store(&map[netip.AddrPort]bool{})
	}
	for _, n := range nodes {
		eventually(t, "the fleet to be whole", func() bool { return n.count(detector.Alive) == 5 })
		eventually(t, "version 6", func() bool { return n.version() == 6 })
	}
}

func TestCatchupTakesTheNewestReachable(t *testing.T) {
	nodes := startFleet(t, 3, testPeriod)
	nodes[1].settings.Store(textOf(7))
	nodes[1].Spread(Rumor{Topic: Draining, Place: "himal", Start: "run"}, time.Now())
	late := startNode(t, freeAddress(t), time.Hour, nodes[0].options.Self.Peer, nodes[1].options.Self.Peer, freeAddress(t))
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if reached := late.Catchup(ctx, nil); reached != 2 {
		t.Errorf("reached %d peers, want 2", reached)
	}
	if late.version() != 7 {
		t.Errorf("holds version %d, want 7", late.version())
	}
	if len(late.rumors()) != 1 {
		t.Errorf("heard %d rumors, want 1", len(late.rumors()))
	}
}

func TestRumorReachesEachOnce(t *testing.T) {
	nodes := startFleet(t, 8, testPeriod)
	target := netip.MustParseAddrPort("127.0.0.1:9")
	nodes[0].Spread(Rumor{Topic: Draining, Place: "himal", Service: "lookup", Target: target, Start: "run"}, time.Now())
	nodes[5].Spread(Rumor{Topic: Load, Place: "himal", Service: "lookup", Rate: 12}, time.Now())
	for i, n := range nodes {
		want := 2
		if i == 0 || i == 5 {
			want = 1
		}
		eventually(t, "the rumors", func() bool { return len(n.rumors()) >= want })
	}
	time.Sleep(200 * time.Millisecond)
	for _, n := range nodes {
		if len(n.rumors()) > 2 {
			t.Errorf("heard %d rumors, want at most 2", len(n.rumors()))
		}
	}
}

func failureOf(t *testing.T, err error) Failure {
	t.Helper()
	f := &ForwardError{}
	if !errors.As(err, &f) {
		t.Fatalf("error %v is not a ForwardError", err)
	}
	return f.Failure
}

func TestForwardTellsFailuresApart(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	a, b := nodes[0], nodes[1]
	peer, run := b.options.Self.Peer, b.options.Incarnation
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()

	body := make([]byte, 3<<20)
	out, err := a.Forward(ctx, peer, Operation{Incarnation: run, Method: "POST", Path: "/confirm", Body: body})
	if err != nil || out.Status != 200 || len(out.Body) != len(body) {
		t.Fatalf("status %d, %d bytes, error %v", out.Status, len(out.Body), err)
	}
	cases := []struct {
		name    string
		peer    netip.AddrPort
		run     uint64
		body    int
		failure Failure
	}{
		{"nothing listens", freeAddress(t), 1, 0, Unsent},
		{"longer than a frame", peer, run, MaxFrame + 1, Unsent},
		{"another incarnation answers", peer, run + 1, 0, Replaced},
	}
	for _, c := range cases {
		executed := b.executed.Load()
		_, err := a.Forward(ctx, c.peer, Operation{Incarnation: c.run, Body: make([]byte, c.body)})
		if got := failureOf(t, err); got != c.failure {
			t.Errorf("%s: %s, want %s", c.name, got, c.failure)
		}
		if b.executed.Load() != executed {
			t.Errorf("%s: executed", c.name)
		}
	}

	split(nodes[:1], nodes[1:])
	short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	_, err = a.Forward(short, peer, Operation{Incarnation: run})
	if got := failureOf(t, err); got != Unanswered {
		t.Errorf("link cut: %s, want %s", got, Unanswered)
	}
}

func TestFarewellIsFinal(t *testing.T) {
	nodes := startFleet(t, 3, testPeriod)
	gone := nodes[2]
	gone.StartLeaving(time.Now())
	eventually(t, "the leaving to be known", func() bool {
		for _, m := range nodes[0].Members() {
			if m.Leaving {
				return true
			}
		}
		return false
	})
	gone.FinishLeaving(time.Now())
	gone.Stop()
	<-gone.Done()
	for _, n := range nodes[:2] {
		eventually(t, "the end to be known", func() bool { return n.Ended(gone.options.Self.Peer, gone.options.Incarnation) })
		_, err := n.Forward(t.Context(), gone.options.Self.Peer, Operation{Incarnation: gone.options.Incarnation})
		if got := failureOf(t, err); got != Replaced {
			t.Errorf("after the farewell: %s, want %s", got, Replaced)
		}
	}
}
