package framer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
)

const (
	kindText    Kind = 3
	testTimeout      = 10 * time.Second
)

var (
	oldKey = Key{ID: "old", Secret: []byte("0123456789abcdef")}
	newKey = Key{ID: "new", Secret: []byte("fedcba9876543210")}
)

// endpoint returns an endpoint that records the causes of its refusals.
func endpoint(keys ...Key) (*Endpoint, func() []Cause) {
	mutex := sync.Mutex{}
	var causes []Cause
	e := &Endpoint{
		Identity:        Identity{Peer: netip.MustParseAddrPort("127.0.0.1:7000"), Incarnation: 7},
		Keys:            func() Keys { return keys },
		MaxPayloadBytes: 1 << 20,
		Timeout:         testTimeout,
		OnRefusal: func(c Cause) {
			mutex.Lock()
			defer mutex.Unlock()
			causes = append(causes, c)
		},
	}
	return e, func() []Cause {
		mutex.Lock()
		defer mutex.Unlock()
		return causes
	}
}

// recordingConn records the bytes that are written to a connection.
type recordingConn struct {
	net.Conn
	mutex sync.Mutex
	bytes []byte
}

func (r *recordingConn) Write(b []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bytes = append(r.bytes, b...)
	return r.Conn.Write(b)
}

// tcpPair returns both ends of a TCP connection. The first one records.
func tcpPair(t testing.TB) (*recordingConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return &recordingConn{Conn: dialed}, accepted
}

// newSession returns the dialing and the listening end of an established session
// and the recording connection of the dialing end.
func newSession(t testing.TB, dialer, listener *Endpoint) (*Conn, *Conn, *recordingConn) {
	t.Helper()
	dialed, accepted := tcpPair(t)
	type result struct {
		conn *Conn
		err  error
	}
	done := make(chan result)
	go func() {
		c, err := listener.Server(accepted)
		done <- result{c, err}
	}()
	client, err := dialer.Client(dialed)
	if err != nil {
		t.Fatal(err)
	}
	server := <-done
	if server.err != nil {
		t.Fatal(server.err)
	}
	return client, server.conn, dialed
}

func mustWrite(t testing.TB, c *Conn, text string) {
	t.Helper()
	m, err := Encode(kindText, 5, text)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(m); err != nil {
		t.Fatal(err)
	}
}

func mustRead(t testing.TB, c *Conn, want string) {
	t.Helper()
	m, _, err := c.Read()
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	if err := m.Decode(&text); err != nil || text != want || m.Kind != kindText || m.ID != 5 {
		t.Fatalf("read %+v %q, error %v, want %q", m, text, err, want)
	}
}

// TestMessagesInBothDirections guards against lost or changed messages, also long
// ones, and against genuine messages that are refused.
func TestMessagesInBothDirections(t *testing.T) {
	e, refused := endpoint(oldKey)
	client, server, _ := newSession(t, e, e)
	long := strings.Repeat("x", 1<<19)
	m, err := Encode(kindText, 5, long)
	if err != nil {
		t.Fatal(err)
	}
	written := make(chan error)
	go func() {
		_, err := client.Write(m)
		written <- err
	}()
	mustRead(t, server, long)
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	mustWrite(t, server, "back")
	mustRead(t, client, "back")
	if server.Remote() != e.Identity || client.Remote() != e.Identity {
		t.Errorf("identities %v and %v", server.Remote(), client.Remote())
	}
	client.Close()
	if _, _, err := server.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("after the close: %v, want EOF", err)
	}
	if len(refused()) != 0 {
		t.Errorf("refused %v", refused())
	}
}

// TestHalfClosedConnectionIsReadToItsEnd guards against a reset that destroys the
// last message: a side writes a message larger than the socket buffers and ends the
// connection while received bytes are still unread.
func TestHalfClosedConnectionIsReadToItsEnd(t *testing.T) {
	e, _ := endpoint(newKey)
	e.MaxPayloadBytes = 8 << 20
	client, server, _ := newSession(t, e, e)
	for range 10 {
		mustWrite(t, client, "unread")
	}
	response := strings.Repeat("x", 4<<20)
	written := make(chan error, 1)
	go func() {
		m, err := Encode(kindText, 5, response)
		if err == nil {
			_, err = server.Write(m)
		}
		written <- err
		if err := server.CloseWrite(10 * time.Second); err != nil {
			t.Error(err)
		}
		if _, err := server.Write(m); err == nil {
			t.Error("writing succeeded after CloseWrite")
		}
		for {
			if _, _, err := server.Read(); err != nil {
				server.Close()
				return
			}
		}
	}()
	mustRead(t, client, response)
	if err := <-written; err != nil {
		t.Error(err)
	}
	if _, _, err := client.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v after the last message, want EOF", err)
	}
}

// TestKeyRotation guards against refused connections while the instances of a fleet
// are at different steps of a key rotation.
func TestKeyRotation(t *testing.T) {
	steps := []struct{ dialer, listener []Key }{
		{[]Key{oldKey}, []Key{oldKey, newKey}},
		{[]Key{newKey, oldKey}, []Key{oldKey, newKey}},
		{[]Key{oldKey, newKey}, []Key{newKey, oldKey}},
		{[]Key{newKey}, []Key{newKey, oldKey}},
	}
	for _, s := range steps {
		dialer, _ := endpoint(s.dialer...)
		listener, _ := endpoint(s.listener...)
		client, server, _ := newSession(t, dialer, listener)
		mustWrite(t, client, "text")
		mustRead(t, server, "text")
	}
}

// attacks are byte sequences that a listener must refuse. Each is made from the
// bytes that a dialer sent in a genuine session with the same keys.
var attacks = []struct {
	name  string
	cause Cause
	bytes func(recorded []byte) []byte
}{
	{"a replayed session", Unconfirmed, func(g []byte) []byte { return g }},
	{"a changed hello", UnsignedHello, func(g []byte) []byte { return flipBit(g, lengthBytes+20) }},
	{"text of another protocol", Oversized, func([]byte) []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }},
	{"a long hello", Oversized, func([]byte) []byte { return []byte{0, 1, 0, 0} }},
	{"zeros", Garbage, func([]byte) []byte { return make([]byte, 64) }},
	{"a truncated hello", Truncated, func(g []byte) []byte { return g[:30] }},
}

func flipBit(b []byte, at int) []byte {
	changed := bytes.Clone(b)
	changed[at] ^= 1
	return changed
}

func recordSession(t testing.TB) []byte {
	e, _ := endpoint(oldKey)
	client, server, recorded := newSession(t, e, e)
	mustWrite(t, client, "first")
	mustRead(t, server, "first")
	return recorded.bytes
}

// TestListenerRefuses guards against a listener that accepts replayed, changed or
// malformed handshakes.
func TestListenerRefuses(t *testing.T) {
	recorded := recordSession(t)
	for _, a := range attacks {
		e, refused := endpoint(oldKey)
		attacker, accepted := tcpPair(t)
		if _, err := attacker.Write(a.bytes(recorded)); err != nil {
			t.Fatal(err)
		}
		attacker.Conn.(*net.TCPConn).CloseWrite()
		if _, err := e.Server(accepted); err == nil {
			t.Errorf("%s: accepted", a.name)
		}
		if got := refused(); len(got) != 1 || got[0] != a.cause {
			t.Errorf("%s: refused for %v, want %s", a.name, got, a.cause)
		}
	}
}

// TestUnknownKeyIsRefused guards against a listener that accepts a key outside its
// key set.
func TestUnknownKeyIsRefused(t *testing.T) {
	dialer, _ := endpoint(newKey)
	listener, refused := endpoint(oldKey)
	dialed, accepted := tcpPair(t)
	go dialer.Client(dialed)
	if _, err := listener.Server(accepted); err == nil {
		t.Error("accepted")
	}
	if got := refused(); len(got) != 1 || got[0] != UnknownKey {
		t.Errorf("refused for %v, want %s", got, UnknownKey)
	}
}

// TestFramesAreRefused guards against frames of an established session that are
// accepted although they are repeated, reordered, reflected, changed or malformed.
func TestFramesAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		cause Cause
		// bytes returns the bytes to send to the server. It is called with the frames
		// "one" and "two", which the client has not sent yet, and a frame of the server.
		bytes func(one, two, own []byte) []byte
	}{
		{"in order", -1, func(one, two, _ []byte) []byte { return append(one, two...) }},
		{"the same frame again", Replayed, func(one, _, _ []byte) []byte { return append(one, one...) }},
		{"a later frame first", Reordered, func(_, two, _ []byte) []byte { return two }},
		{"a reflected frame", Reflected, func(_, _, own []byte) []byte { return own }},
		{"a changed frame", Forged, func(one, _, _ []byte) []byte { return flipBit(one, len(one)-1) }},
		{"a truncated frame", Truncated, func(one, _, _ []byte) []byte { return one[:len(one)-3] }},
		{"a frame longer than allowed", Oversized, func(one, _, _ []byte) []byte { return flipBit(one, 0) }},
		{"a frame without a MAC", Garbage, func([]byte, []byte, []byte) []byte { return []byte{0, 0, 0, 1, 9} }},
	}
	for _, c := range cases {
		e, refused := endpoint(oldKey)
		client, server, recorded := newSession(t, e, e)
		one, two := encodeFrame(t, client, "one"), encodeFrame(t, client, "two")
		if _, err := recorded.Conn.Write(c.bytes(one, two, encodeFrame(t, server, "own"))); err != nil {
			t.Fatal(err)
		}
		client.Close()
		var err error
		for err == nil {
			_, _, err = server.Read()
		}
		got := refused()
		if c.cause < 0 && len(got) != 0 || c.cause >= 0 && (len(got) != 1 || got[0] != c.cause) {
			t.Errorf("%s: refused for %v, want %s", c.name, got, c.cause)
		}
	}
}

// encodeFrame returns the bytes of the next frame of a connection without sending
// them.
func encodeFrame(t testing.TB, c *Conn, text string) []byte {
	t.Helper()
	socket := c.socket
	defer func() { c.socket = socket }()
	r := &recordingConn{Conn: discardConn{}}
	c.socket = r
	mustWrite(t, c, text)
	return r.bytes
}

// discardConn is a connection that discards the bytes written to it.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error)      { return len(b), nil }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }

// TestUndecodablePayloadIsRefused guards against an authenticated payload that is
// accepted although it is not a message.
func TestUndecodablePayloadIsRefused(t *testing.T) {
	e, refused := endpoint(oldKey)
	client, server, _ := newSession(t, e, e)
	if err := client.writeFrame([]byte{0xc1, 0xff}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := server.Read(); err == nil {
		t.Error("read a message")
	}
	if got := refused(); len(got) != 1 || got[0] != Undecodable {
		t.Errorf("refused for %v, want %s", got, Undecodable)
	}
}

// TestLongMessageIsNotSent guards against a message that is longer than the receiver
// accepts: sending it would close the connection.
func TestLongMessageIsNotSent(t *testing.T) {
	e, _ := endpoint(oldKey)
	client, server, _ := newSession(t, e, e)
	m, err := Encode(kindText, 1, strings.Repeat("x", e.MaxPayloadBytes))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write(m); !trace.IsLimitExceeded(err) {
		t.Errorf("error %v, want a limit", err)
	}
	mustWrite(t, client, "next")
	mustRead(t, server, "next")
}

// zeroReader is a broken source of nonces that returns only zeros.
type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// TestReplayIsAcceptedWithoutFreshNonces shows that replayed sessions are refused
// because of the listener's nonce: a listener that repeats its nonce accepts them.
func TestReplayIsAcceptedWithoutFreshNonces(t *testing.T) {
	e, _ := endpoint(oldKey)
	broken, refused := endpoint(oldKey)
	broken.random = zeroReader{}
	client, server, recorded := newSession(t, e, broken)
	mustWrite(t, client, "first")
	mustRead(t, server, "first")

	attacker, accepted := tcpPair(t)
	if _, err := attacker.Write(recorded.bytes); err != nil {
		t.Fatal(err)
	}
	c, err := broken.Server(accepted)
	if err != nil {
		t.Fatalf("the broken listener refused the replay: %v", refused())
	}
	mustRead(t, c, "first")
}

// TestParseKeys guards against invalid key sets that are accepted and valid ones
// that are rejected.
func TestParseKeys(t *testing.T) {
	cases := []struct {
		text      string
		wantError string
	}{
		{"a:30313233343536373839616263646566", ""},
		{"a:30313233343536373839616263646566, b:40313233343536373839616263646566", ""},
		{"30313233343536373839616263646566", "id:hex"},
		{"a:3031", "want at least 16"},
		{"a:xyz", "not hexadecimal"},
		{"a:30313233343536373839616263646566,a:30313233343536373839616263646566", "listed twice"},
	}
	for _, c := range cases {
		_, err := ParseKeys(c.text)
		if c.wantError == "" && err != nil || c.wantError != "" && (err == nil || !strings.Contains(err.Error(), c.wantError)) {
			t.Errorf("%q: error %v, want %q", c.text, err, c.wantError)
		}
	}
}

// FuzzListener feeds a listener arbitrary bytes. It guards against a listener that
// accepts them or counts more than one refusal.
func FuzzListener(f *testing.F) {
	recorded := recordSession(f)
	for _, a := range attacks {
		f.Add(a.bytes(recorded))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		e, refused := endpoint(oldKey)
		e.Timeout = time.Second
		here, there := net.Pipe()
		go io.Copy(io.Discard, there)
		go func() {
			there.Write(sent)
			there.Close()
		}()
		if _, err := e.Server(here); err == nil {
			t.Error("accepted")
		}
		if len(refused()) > 1 {
			t.Errorf("refused for %v", refused())
		}
	})
}
