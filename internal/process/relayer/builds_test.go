package relayer

import (
	"encoding"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// Guards against a change to this build that cannot read what instances of build 01113c9
// send while they are replaced one after the other.
func TestMessagesOfTheLandedBuildAreRead(t *testing.T) {
	for _, x := range recordedMessages() {
		payload, err := os.ReadFile(filepath.Join("testdata", "landed", x.name+".msgpack"))
		require.NoError(t, err)
		m := framer.Message{}
		require.NoError(t, framer.Unmarshal(payload, &m), x.name)
		require.Equal(t, x.kind, m.Kind)
		require.Equal(t, uint64(42), m.ID)
		if x.body == nil {
			continue
		}
		expected := reflect.ValueOf(x.body)
		if expected.Kind() == reflect.Pointer {
			expected = expected.Elem()
		}
		read := reflect.New(expected.Type())
		require.NoError(t, m.Decode(read.Interface()), x.name)
		require.Equal(t, expected.Interface(), read.Elem().Interface(), x.name)
	}
}

// fill sets each field of a value to something else than zero.
func fill(v reflect.Value) {
	if _, ok := v.Addr().Interface().(encoding.BinaryUnmarshaler); ok {
		v.Set(reflect.ValueOf(netip.MustParseAddrPort("10.1.0.1:8146")))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
		fill(v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(time.Second))
	default:
		v.SetUint(1)
	}
}

// Guards against a new field, kind of message or kind of document of this build on which
// build 01113c9 ends the connection: its library refuses an array of another length. What
// is new goes into a kind with a feature.
func TestTheLandedBuildReadsEachMessage(t *testing.T) {
	for k := kindPacket; k < messageKindEnd; k++ {
		reading, landed := readings[k]
		if !landed {
			require.NotZero(t, kindFeatures[k], "kind %s is unknown to build 01113c9 and needs a feature", kindNames[k])
			continue
		}
		require.Zero(t, kindFeatures[k], "kind %s is read by all builds", kindNames[k])
		if reading.body == nil {
			continue
		}
		body := reflect.New(reflect.TypeOf(reading.body).Elem())
		fill(body.Elem())
		m, err := framer.Encode(k, 42, body.Interface())
		require.NoError(t, err)
		payload, err := msgpack.Marshal(&m)
		require.NoError(t, err)
		outer := struct {
			_msgpack struct{} `msgpack:",as_array"`
			Kind     uint8
			ID       uint64
			Body     msgpack.RawMessage
		}{}
		require.NoError(t, msgpack.Unmarshal(payload, &outer))
		require.Equal(t, uint8(k), outer.Kind)
		require.NoError(t, msgpack.Unmarshal(outer.Body, reading.landed), "build 01113c9 reads kind %s", kindNames[k])
	}
	require.Len(t, readings, int(kindPermit), "the kinds of build 01113c9 keep their numbers")
	require.Equal(t, landedTypes, detector.Table+1, "the types of packets of build 01113c9 keep their numbers")
	require.Equal(t, landedTopics, Limit+1, "the topics of build 01113c9 keep their numbers")
}

// dial connects to a node that may not listen yet.
func dial(t *testing.T, e *framer.Endpoint, a netip.AddrPort) *framer.Conn {
	var c *framer.Conn
	require.Eventually(t, func() bool {
		var err error
		c, err = e.Dial(t.Context(), a)
		return err == nil
	}, waitTimeout, time.Millisecond)
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against a link that ends, and with it the operations on it, because a later build
// sends something new: a message kind, a document, a topic or a type of packet. The link
// then still carries known messages.
func TestWhatALaterBuildSendsKeepsTheLink(t *testing.T) {
	a := freeAddress(t)
	n := startNode(t, a, testPeriod)
	peer := freeAddress(t)
	e := framer.Endpoint{
		Identity: framer.Identity{Peer: peer, Incarnation: 5}, Capabilities: framer.Capabilities{Features: 1 << 63, Build: "later"},
		Keys: func() framer.Keys { return testKeys }, MaxPayloadBytes: MaxFrameBytes, Timeout: time.Second,
	}
	c := dial(t, &e, a)
	send := func(kind framer.Kind, id uint64, body any) {
		m, err := framer.Encode(kind, id, body)
		require.NoError(t, err)
		_, err = c.Write(m)
		require.NoError(t, err)
	}
	stamps := [][]int{{0, 0}, {0, 0}, {9, 9}}
	rumor := []any{uint64(1), 200, "", "", netip.AddrPort{}, "", 0, netip.AddrPort{}, 0, time.Minute, "new"}
	send(messageKindEnd, 0, []int{1, 2})
	send(255, 0, "text")
	send(kindPull, 1, []int{int(documentKindCount), 7})
	send(kindAnnounce, 0, []any{stamps, "new"})
	send(kindRumors, 0, []any{rumor})
	member := []any{map[string]any{"Peer": peer, "New": 1}, uint64(5), 0, 0, false, false, "new"}
	send(kindPacket, 0, []any{[]any{200, 1, member, netip.AddrPort{}, nil, 0, nil, "new"}, stamps, []any{rumor}, "new"})
	send(kindCatchup, 3, []any{stamps})
	for {
		m, _, err := c.Read()
		require.NoError(t, err, "the link must stay")
		if m.Kind == kindCatchupResponse {
			break
		}
	}
	require.Empty(t, n.rumors())
	b, known := n.Build(peer)
	require.True(t, known)
	require.Equal(t, "later", b.Build)
	require.True(t, n.Lacks(peer, TellsFacts))
}

// Guards against a message of a new kind that is sent to an instance of build 01113c9,
// which would end the connection. Its hello is followed by nothing.
func TestFactsGoOnlyToPeersThatReadThem(t *testing.T) {
	facts := make(chan Facts, 10)
	a, b, old := freeAddress(t), freeAddress(t), freeAddress(t)
	n := startNode(t, a, testPeriod)
	receiver := startNodeWith(t, b, testPeriod, func(o *Options) {
		o.OnFacts = func(i framer.Identity, f Facts, _ time.Time) {
			if i.Peer == a {
				facts <- f
			}
		}
	}, a)
	n.SetFacts(Facts{Cores: 2.5})
	require.Equal(t, Facts{Cores: 2.5}, <-facts)
	n.SetFacts(Facts{Cores: 2.5})
	n.SetFacts(Facts{Cores: 0.5})
	require.Equal(t, Facts{Cores: 0.5}, <-facts, "facts that have not changed are not sent again")
	require.True(t, n.Features(b).Has(TellsFacts))
	require.True(t, receiver.Features(a).Has(TellsFacts))

	e := framer.Endpoint{
		Identity: framer.Identity{Peer: old, Incarnation: 5}, Keys: func() framer.Keys { return testKeys },
		MaxPayloadBytes: MaxFrameBytes, Timeout: time.Second,
	}
	c := dial(t, &e, a)
	n.SetFacts(Facts{Cores: 4})
	require.Equal(t, Facts{Cores: 4}, <-facts)
	m, err := framer.Encode(kindCatchup, 3, &announcement{})
	require.NoError(t, err)
	_, err = c.Write(m)
	require.NoError(t, err)
	for {
		m, _, err := c.Read()
		require.NoError(t, err)
		require.NotEqual(t, kindFacts, m.Kind)
		if m.Kind == kindCatchupResponse {
			break
		}
	}
	require.True(t, n.Lacks(old, TellsFacts))
	// The sender counts a message after it has written it, when it may have arrived already.
	sent := n.Traffic()[kindFacts-1]
	for end := time.Now().Add(waitTimeout); sent.MessagesSent < 3 && time.Now().Before(end); sent = n.Traffic()[kindFacts-1] {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, uint64(3), sent.MessagesSent)
	t.Logf("%d bytes for each message of facts", sent.BytesSent/sent.MessagesSent)
}
