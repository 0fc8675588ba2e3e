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

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// waitTimeout bounds every wait. A failed wait takes this long.
const waitTimeout = 20 * time.Second

// testPeriod is the time between pings in tests. The timeouts that scale with it
// exceed the delays of a busy machine.
const testPeriod = 150 * time.Millisecond

var testKeys = framer.Keys{{ID: "a", Secret: []byte("0123456789abcdef")}}

// node is a relayer with the state behind its callbacks.
type node struct {
	*Relayer
	settings atomic.Pointer[[]byte]
	blocked  atomic.Pointer[map[netip.AddrPort]bool]
	mutex    sync.Mutex
	received []Rumor
	executed atomic.Int64
}

// addresses counts the addresses that freeAddress has returned.
var addresses atomic.Uint32

// freeAddress returns an address that nothing else uses. Its loopback IP is not used
// by outgoing connections, because those come from 127.0.0.1. After 256 addresses of a
// process, the IPs repeat with another port.
func freeAddress(testing.TB) netip.AddrPort {
	n, pid := addresses.Add(1), os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&63), byte(pid), byte(n)})
	return netip.AddrPortFrom(ip, uint16(20000+n>>8))
}

// settingsText returns a settings text whose first bytes are its version.
func settingsText(version uint64) *[]byte {
	text := binary.BigEndian.AppendUint64(nil, version)
	text = append(text, make([]byte, 1000)...)
	return &text
}

func versionOf(text []byte) (version, digest uint64) {
	h := fnv.New64a()
	h.Write(text)
	return binary.BigEndian.Uint64(text), h.Sum64()
}

// offerDocument accepts a document with a higher version, as the adopter does.
func (n *node) offerDocument(kind DocumentKind, text []byte, _ time.Time) bool {
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
	return append([]Rumor(nil), n.received...)
}

func startNode(t testing.TB, peer netip.AddrPort, period time.Duration, seeds ...netip.AddrPort) *node {
	return startNodeWith(t, peer, period, func(*Options) {}, seeds...)
}

func startNodeWith(t testing.TB, peer netip.AddrPort, period time.Duration, change func(*Options), seeds ...netip.AddrPort) *node {
	n := &node{}
	n.settings.Store(settingsText(1))
	n.blocked.Store(&map[netip.AddrPort]bool{})
	o := Options{
		Self:        lister.Instance{Address: peer, Peer: peer, Place: "himal", Zone: "a", State: lister.Live},
		Incarnation: rand.Uint64() | 1, // not 0
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
		OfferDocument: n.offerDocument,
		OnRumor: func(r Rumor, _ time.Time) {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.received = append(n.received, r)
		},
		Execute: func(_ context.Context, o Operation) Outcome {
			n.executed.Add(1)
			return Outcome{Status: 200, Body: o.Body}
		},
		Allow: func(a netip.AddrPort) bool { return !(*n.blocked.Load())[a] },
	}
	change(&o)
	n.Relayer = New(o)
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
		eventually(t, "each instance to know all others", func() bool { return n.countMembers(detector.Alive) == count-1 })
	}
	return nodes
}

func (n *node) countMembers(s detector.State) int {
	total := 0
	for _, m := range n.Members() {
		if m.State == s {
			total++
		}
	}
	return total
}

func eventually(t testing.TB, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", event)
}

// partition blocks the links between two sides in both directions. If one side is
// empty, it unblocks the links of the other side.
func partition(left, right []*node) {
	for _, side := range [][2][]*node{{left, right}, {right, left}} {
		blocked := map[netip.AddrPort]bool{}
		for _, n := range side[1] {
			blocked[n.options.Self.Peer] = true
		}
		for _, n := range side[0] {
			n.blocked.Store(&blocked)
		}
	}
}

func TestDocumentReachesAllInstances(t *testing.T) {
	nodes := startFleet(t, 8, testPeriod)
	nodes[3].settings.Store(settingsText(9))
	nodes[3].Announce()
	for _, n := range nodes {
		eventually(t, "version 9 at all instances", func() bool { return n.version() == 9 })
	}
}

// Guards against a document that each instance on its way compresses anew: a list of some
// hundred targets changes several times a second while targets are replaced.
func TestDocumentIsCompressedOnce(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	origin, next := nodes[0], nodes[1]
	origin.settings.Store(settingsText(9))
	origin.Announce()
	eventually(t, "the pull to end", func() bool {
		next.transfers.mutex.Lock()
		defer next.transfers.mutex.Unlock()
		return next.version() == 9 && !next.transfers.pulling[Settings]
	})
	last := startNode(t, freeAddress(t), time.Hour, next.options.Self.Peer)
	require.Equal(t, 1, last.Catchup(t.Context(), nil))
	require.Equal(t, *settingsText(9), *last.settings.Load())
	require.NotNil(t, origin.transfers.compressor)
	require.Nil(t, next.transfers.compressor)
}

func TestPartitionHealsAndHigherVersionWins(t *testing.T) {
	nodes := startFleet(t, 6, testPeriod)
	left, right := nodes[:3], nodes[3:]
	partition(left, right)
	for _, n := range nodes {
		eventually(t, "the other side to fail", func() bool { return n.countMembers(detector.Failed) == 3 })
	}
	left[0].settings.Store(settingsText(5))
	left[0].Announce()
	right[0].settings.Store(settingsText(6))
	right[0].Announce()
	eventually(t, "version 5 on the left side", func() bool { return left[2].version() == 5 })
	eventually(t, "version 6 on the right side", func() bool { return right[2].version() == 6 })
	partition(nil, nodes)
	for _, n := range nodes {
		n.blocked.Store(&map[netip.AddrPort]bool{})
	}
	for _, n := range nodes {
		eventually(t, "all instances to be alive again", func() bool { return n.countMembers(detector.Alive) == 5 })
		eventually(t, "version 6 at all instances", func() bool { return n.version() == 6 })
	}
}

func TestCatchupTakesTheNewestReachable(t *testing.T) {
	nodes := startFleet(t, 3, testPeriod)
	nodes[1].settings.Store(settingsText(7))
	nodes[1].Spread(Rumor{Topic: Draining, Place: "himal", Start: "run"}, time.Now())
	starting := startNode(t, freeAddress(t), time.Hour, nodes[0].options.Self.Peer, nodes[1].options.Self.Peer, freeAddress(t))
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if reached := starting.Catchup(ctx, nil); reached != 2 {
		t.Errorf("%d peers responded, want 2", reached)
	}
	if starting.version() != 7 {
		t.Errorf("version %d in force, want 7", starting.version())
	}
	if len(starting.rumors()) != 1 {
		t.Errorf("received %d rumors, want 1", len(starting.rumors()))
	}
}

func TestRumorReachesEachInstanceOnce(t *testing.T) {
	nodes := startFleet(t, 8, testPeriod)
	target := netip.MustParseAddrPort("127.0.0.1:9")
	nodes[0].Spread(Rumor{Topic: Draining, Place: "himal", Service: "lookup", Target: target, Start: "run"}, time.Now())
	nodes[5].Spread(Rumor{Topic: Load, Place: "himal", Service: "lookup", Rate: 12}, time.Now())
	for i, n := range nodes {
		want := 2
		if i == 0 || i == 5 {
			want = 1
		}
		eventually(t, "the rumors to arrive", func() bool { return len(n.rumors()) >= want })
	}
	// Duplicates would arrive in this time.
	time.Sleep(200 * time.Millisecond)
	for _, n := range nodes {
		if len(n.rumors()) > 2 {
			t.Errorf("received %d rumors, want at most 2", len(n.rumors()))
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

func TestForwardDistinguishesFailures(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	a, b := nodes[0], nodes[1]
	peer, incarnation := b.options.Self.Peer, b.options.Incarnation
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()

	body := make([]byte, 3<<20)
	out, err := a.Forward(ctx, peer, Operation{Incarnation: incarnation, Method: "POST", Path: "/confirm", Body: body})
	if err != nil || out.Status != 200 || len(out.Body) != len(body) {
		t.Fatalf("status %d, %d bytes, error %v", out.Status, len(out.Body), err)
	}
	cases := []struct {
		name        string
		peer        netip.AddrPort
		incarnation uint64
		body        int
		failure     Failure
	}{
		{"nothing listens", freeAddress(t), 1, 0, Unsent},
		{"operation exceeds the frame size", peer, incarnation, MaxFrameBytes + 1, Unsent},
		{"another incarnation responds", peer, incarnation + 1, 0, Replaced},
	}
	for _, c := range cases {
		executed := b.executed.Load()
		_, err := a.Forward(ctx, c.peer, Operation{Incarnation: c.incarnation, Body: make([]byte, c.body)})
		if got := failureOf(t, err); got != c.failure {
			t.Errorf("%s: %s, want %s", c.name, got, c.failure)
		}
		if b.executed.Load() != executed {
			t.Errorf("%s: the operation was executed", c.name)
		}
	}

	partition(nodes[:1], nodes[1:])
	short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	_, err = a.Forward(short, peer, Operation{Incarnation: incarnation})
	if got := failureOf(t, err); got != Unanswered {
		t.Errorf("blocked link: %s, want %s", got, Unanswered)
	}
}

func TestFinishLeavingEndsTheIncarnation(t *testing.T) {
	nodes := startFleet(t, 3, testPeriod)
	leaving := nodes[2]
	leaving.StartLeaving(time.Now())
	eventually(t, "the leaving state to be known", func() bool {
		for _, m := range nodes[0].Members() {
			if m.Leaving {
				return true
			}
		}
		return false
	})
	leaving.FinishLeaving(time.Now())
	leaving.Stop()
	<-leaving.Done()
	for _, n := range nodes[:2] {
		eventually(t, "the end of the incarnation to be known", func() bool { return n.HasEnded(leaving.options.Self.Peer, leaving.options.Incarnation) })
		_, err := n.Forward(t.Context(), leaving.options.Self.Peer, Operation{Incarnation: leaving.options.Incarnation})
		if got := failureOf(t, err); got != Replaced {
			t.Errorf("after FinishLeaving: %s, want %s", got, Replaced)
		}
	}
}
