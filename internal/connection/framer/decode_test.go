package framer

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type inner struct {
	_msgpack struct{} `msgpack:",as_array"`

	Address netip.AddrPort
	Count   int
}

type outer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind   uint8
	Inner  inner
	Many   []inner
	Fixed  [2]inner
	Named  map[string][]string
	Named2 struct{ Text string }
	Bytes  []byte
}

type laterInner struct {
	_msgpack struct{} `msgpack:",as_array"`

	Address netip.AddrPort
	Count   int
	Added   []string
}

type laterOuter struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind   uint8
	Inner  laterInner
	Many   []laterInner
	Fixed  [3]laterInner
	Named  map[string][]string
	Named2 struct{ Text, Added string }
	Bytes  []byte
	Added  map[string]laterInner
}

func marshal(t testing.TB, value any) []byte {
	t.Helper()
	text, err := msgpack.Marshal(value)
	require.NoError(t, err)
	return text
}

var (
	peerA = netip.MustParseAddrPort("10.1.0.1:8146")
	peerB = netip.MustParseAddrPort("[fd00::1]:8146")
)

// Guards against a message of a later build that is refused, and its connection ended,
// because a struct or an array has more elements, at any depth.
func TestLongerArraysAreRead(t *testing.T) {
	later := laterOuter{
		Kind: 3, Inner: laterInner{Address: peerA, Count: 4, Added: []string{"x"}},
		Many:  []laterInner{{Address: peerA, Count: 1}, {Address: peerB, Count: 2, Added: []string{"y", "z"}}},
		Fixed: [3]laterInner{{Count: 5}, {Count: 6}, {Count: 7}}, Named: map[string][]string{"a": {"b"}},
		Bytes: []byte("bytes"), Added: map[string]laterInner{"k": {Count: 9}},
	}
	later.Named2.Text, later.Named2.Added = "text", "added"
	read := outer{}
	require.NoError(t, Unmarshal(marshal(t, &later), &read))
	expected := outer{
		Kind: 3, Inner: inner{Address: peerA, Count: 4}, Many: []inner{{Address: peerA, Count: 1}, {Address: peerB, Count: 2}},
		Fixed: [2]inner{{Count: 5}, {Count: 6}}, Named: map[string][]string{"a": {"b"}}, Bytes: []byte("bytes"),
	}
	expected.Named2.Text = "text"
	require.Equal(t, expected, read)
}

// Guards against a message of an earlier build that is refused because it lacks elements,
// and against values of an earlier message that stay in the missing ones.
func TestShorterArraysLeaveZeroValues(t *testing.T) {
	earlier := outer{
		Kind: 3, Inner: inner{Address: peerA, Count: 4}, Many: []inner{{Address: peerA, Count: 1}},
		Fixed: [2]inner{{Count: 5}, {Count: 6}}, Named: map[string][]string{"a": {"b"}}, Bytes: []byte("bytes"),
	}
	read := laterOuter{Inner: laterInner{Added: []string{"stale"}}, Fixed: [3]laterInner{2: {Count: 8}}, Added: map[string]laterInner{"stale": {}}}
	require.NoError(t, Unmarshal(marshal(t, &earlier), &read))
	require.Equal(t, laterOuter{
		Kind: 3, Inner: laterInner{Address: peerA, Count: 4}, Many: []laterInner{{Address: peerA, Count: 1}},
		Fixed: [3]laterInner{{Count: 5}, {Count: 6}}, Named: map[string][]string{"a": {"b"}}, Bytes: []byte("bytes"),
	}, read)
	for _, empty := range []any{nil, []int{}} {
		read := outer{Kind: 7}
		require.NoError(t, Unmarshal(marshal(t, empty), &read))
		require.Equal(t, outer{}, read)
	}
}

// Guards against an array whose length is a lie: it must not allocate more than what its
// bytes can fill, and must end with an error.
func TestWrongLengthsEndInAnError(t *testing.T) {
	for _, text := range []string{
		"", "\x97", "\x97\x03\x92", "\xdd\xff\xff\xff\xff\x03", "\x97\x03\x92\xc4\x00\x01\xdd\xff\xff\xff\xff", "\x01", "\xa4text",
	} {
		require.Error(t, Unmarshal([]byte(text), &outer{}), "%q", text)
	}
	require.Error(t, Unmarshal([]byte("\x90"), outer{}), "not a pointer")
}

// The hello of build 01113c9.
type landedHello struct {
	_msgpack struct{} `msgpack:",as_array"`

	Protocol uint8
	Key      string
	Nonce    []byte
	Identity struct {
		_msgpack struct{} `msgpack:",as_array"`

		Peer        netip.AddrPort
		Incarnation uint64
	}
}

// Guards against a hello that build 01113c9 refuses, so that instances of both builds
// never meet: it reads the first value and has no use for what follows.
func TestTheLandedBuildReadsTheHello(t *testing.T) {
	e, _ := endpoint(oldKey)
	e.Capabilities = Capabilities{Features: 1<<63 | 1, Build: strings.Repeat("b", 200)}
	client, server := tcpPair(t)
	go e.Client(client)
	c := newConn(server, e)
	block, err := c.readBlock(maxHelloBytes)
	require.NoError(t, err)
	read := landedHello{}
	require.NoError(t, msgpack.Unmarshal(block[:len(block)-32], &read))
	require.Equal(t, e.Identity.Peer, read.Identity.Peer)
	require.Equal(t, e.Identity.Incarnation, read.Identity.Incarnation)
	require.Len(t, read.Nonce, nonceBytes)
}

// Guards against a handshake with an instance of build 01113c9 that fails because its
// hello carries no capabilities, and against capabilities that a later build has extended.
func TestCapabilitiesAreReadFromTheHello(t *testing.T) {
	hello := marshal(t, &hello{Protocol: protocolVersion, Key: "k", Nonce: make([]byte, nonceBytes), Identity: Identity{Peer: peerA, Incarnation: 7}})
	for _, x := range []struct {
		extension []byte
		expected  Capabilities
	}{
		{nil, Capabilities{}},
		{marshal(t, &Capabilities{Features: 5, Build: "b"}), Capabilities{Features: 5, Build: "b"}},
		{marshal(t, []any{5, "b", "more"}), Capabilities{Features: 5, Build: "b"}},
		{marshal(t, []any{5}), Capabilities{Features: 5}},
		{append(marshal(t, []any{5, "b"}), marshal(t, "another value")...), Capabilities{Features: 5, Build: "b"}},
	} {
		read, capabilities := landedHello{}, Capabilities{}
		require.NoError(t, unmarshalSequence(append(bytes.Clone(hello), x.extension...), &read, &capabilities))
		require.Equal(t, x.expected, capabilities)
		require.Equal(t, uint64(7), read.Identity.Incarnation)
	}
}

// Guards against capabilities that get lost between two instances of this build, on either
// side.
func TestBothSidesLearnTheCapabilities(t *testing.T) {
	a, _ := endpoint(oldKey)
	b, _ := endpoint(oldKey)
	a.Capabilities, b.Capabilities = Capabilities{Features: 1, Build: "a"}, Capabilities{Features: 2, Build: "b"}
	client, server := tcpPair(t)
	accepted := make(chan *Conn, 1)
	go func() {
		c, _ := b.Server(server)
		accepted <- c
	}()
	c, err := a.Client(client)
	require.NoError(t, err)
	require.Equal(t, b.Capabilities, c.Capabilities())
	require.Equal(t, a.Capabilities, (<-accepted).Capabilities())
}

// FuzzUnmarshal guards against bytes of a peer that crash an instance, and against a value
// that this build writes and does not read back.
func FuzzUnmarshal(f *testing.F) {
	f.Add(marshal(f, &outer{Kind: 1, Inner: inner{Address: peerA}, Many: []inner{{Count: 1}}, Bytes: []byte("b")}))
	f.Add(marshal(f, &laterOuter{Many: []laterInner{{Added: []string{"x"}}}}))
	f.Add(marshal(f, map[string]any{"Kind": 1, "Other": []int{1}}))
	f.Add([]byte("\xdd\xff\xff\xff\xff\x03"))
	f.Fuzz(func(t *testing.T, text []byte) {
		read := outer{}
		if Unmarshal(text, &read) != nil {
			return
		}
		again := outer{}
		first := marshal(t, &read)
		require.NoError(t, Unmarshal(first, &again))
		require.Equal(t, first, marshal(t, &again))
	})
}
