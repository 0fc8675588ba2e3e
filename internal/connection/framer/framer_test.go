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
	kindText Kind = 3
	patience      = 10 * time.Second
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
		Timeout:         patience,
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

// recorder keeps what was written to a socket.
type recorder struct {
	net.Conn
	mutex sync.Mutex
	bytes []byte
}

func (r *recorder) Write(b []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bytes = append(r.bytes, b...)
	return r.Conn.Write(b)
}

// sockets returns both ends of a TCP connection; the first one records.
func sockets(t testing.TB) (*recorder, net.Conn) {
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
	return &recorder{Conn: dialed}, accepted
}

// session returns both ends of an established session and the recorder of the
// dialing side.
func session(t testing.TB, dialer, listener *Endpoint) (*Conn, *Conn, *recorder) {
	t.Helper()
	dialed, accepted := sockets(t)
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

func TestMessagesBothWays(t *testing.T) {
	e, refused := endpoint(oldKey)
	client, server, _ := session(t, e, e)
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

// TestFinishedConnectionIsReadToItsEnd ends a connection on which unread bytes
// have arrived, after a message that does not fit the buffers of the sockets.
func TestFinishedConnectionIsReadToItsEnd(t *testing.T) {
	e, _ := endpoint(newKey)
	e.MaxPayloadBytes = 8 << 20
	client, server, _ := session(t, e, e)
	for range 10 {
		mustWrite(t, client, "unread")
	}
	answer := strings.Repeat("x", 4<<20)
	written := make(chan error, 1)
	go func() {
		m, err := Encode(kindText, 5, answer)
		if err == nil {
			_, err = server.Write(m)
		}
		written <- err
		if err := server.CloseWrite(10 * time.Second); err != nil {
			t.Error(err)
		}
		if _, err := server.Write(m); err == nil {
			t.Error("a finished connection was written to")
		}
		for {
			if _, _, err := server.Read(); err != nil {
				server.Close()
				return
			}
		}
	}()
	mustRead(t, client, answer)
	if err := <-written; err != nil {
		t.Error(err)
	}
	if _, _, err := client.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want the end", err)
	}
}

func TestKeyRotation(t *testing.T) {
	stages := []struct{ dialer, listener []Key }{
		{[]Key{oldKey}, []Key{oldKey, newKey}},
		{[]Key{newKey, oldKey}, []Key{oldKey, newKey}},
		{[]Key{oldKey, newKey}, []Key{newKey, oldKey}},
		{[]Key{newKey}, []Key{newKey, oldKey}},
	}
	for _, s := range stages {
		dialer, _ := endpoint(s.dialer...)
		listener, _ := endpoint(s.listener...)
		client, server, _ := session(t, dialer, listener)
		mustWrite(t, client, "text")
		mustRead(t, server, "text")
	}
}

// attacks are bytes that a listener must refuse. Each gets the bytes of a genuine
// session of the dialer with another connection of the listener.
var attacks = []struct {
	name  string
	cause Cause
	bytes func(genuine []byte) []byte
}{
	{"a whole session again", Unconfirmed, func(g []byte) []byte { return g }},
	{"a changed hello", UnsignedHello, func(g []byte) []byte { return flip(g, lengthBytes+20) }},
	{"text of another protocol", Oversized, func([]byte) []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }},
	{"a long hello", Oversized, func([]byte) []byte { return []byte{0, 1, 0, 0} }},
	{"zeros", Garbage, func([]byte) []byte { return make([]byte, 64) }},
	{"a hello that breaks off", Truncated, func(g []byte) []byte { return g[:30] }},
}

func flip(b []byte, at int) []byte {
	changed := bytes.Clone(b)
	changed[at] ^= 1
	return changed
}

func genuine(t testing.TB) []byte {
	e, _ := endpoint(oldKey)
	client, server, recorded := session(t, e, e)
	mustWrite(t, client, "first")
	mustRead(t, server, "first")
	return recorded.bytes
}

func TestListenerRefuses(t *testing.T) {
	bytes := genuine(t)
	for _, a := range attacks {
		e, refused := endpoint(oldKey)
		attacker, accepted := sockets(t)
		if _, err := attacker.Write(a.bytes(bytes)); err != nil {
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

func TestUnknownKeyIsRefused(t *testing.T) {
	dialer, _ := endpoint(newKey)
	listener, refused := endpoint(oldKey)
	dialed, accepted := sockets(t)
	go dialer.Client(dialed)
	if _, err := listener.Server(accepted); err == nil {
		t.Error("accepted")
	}
	if got := refused(); len(got) != 1 || got[0] != UnknownKey {
		t.Errorf("refused for %v, want %s", got, UnknownKey)
	}
}

// TestFramesAreRefused plays frames of an established session wrongly.
func TestFramesAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		cause Cause
		// play gets the frames "one" and "two" that the client has not sent yet,
		// and a frame that the server sent.
		play func(one, two, own []byte) []byte
	}{
		{"in order", -1, func(one, two, _ []byte) []byte { return append(one, two...) }},
		{"the same frame again", Replayed, func(one, _, _ []byte) []byte { return append(one, one...) }},
		{"a later frame first", Reordered, func(_, two, _ []byte) []byte { return two }},
		{"the receiver's own frame", Reflected, func(_, _, own []byte) []byte { return own }},
		{"a changed frame", Forged, func(one, _, _ []byte) []byte { return flip(one, len(one)-1) }},
		{"a frame that breaks off", Truncated, func(one, _, _ []byte) []byte { return one[:len(one)-3] }},
		{"a frame longer than allowed", Oversized, func(one, _, _ []byte) []byte { return flip(one, 0) }},
		{"a frame without signature", Garbage, func([]byte, []byte, []byte) []byte { return []byte{0, 0, 0, 1, 9} }},
	}
	for _, c := range cases {
		e, refused := endpoint(oldKey)
		client, server, recorded := session(t, e, e)
		one, two := frame(t, client, "one"), frame(t, client, "two")
		if _, err := recorded.Conn.Write(c.play(one, two, frame(t, server, "own"))); err != nil {
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

// frame returns the bytes of the next frame of a connection without sending them.
func frame(t testing.TB, c *Conn, text string) []byte {
	t.Helper()
	socket := c.socket
	defer func() { c.socket = socket }()
	r := &recorder{Conn: discard{}}
	c.socket = r
	mustWrite(t, c, text)
	return r.bytes
}

// discard is a socket that loses what is written.
type discard struct{ net.Conn }

func (discard) Write(b []byte) (int, error)      { return len(b), nil }
func (discard) SetWriteDeadline(time.Time) error { return nil }

func TestSignedPayloadThatIsNoMessage(t *testing.T) {
	e, refused := endpoint(oldKey)
	client, server, _ := session(t, e, e)
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

func TestLongMessageIsNotSent(t *testing.T) {
	e, _ := endpoint(oldKey)
	client, server, _ := session(t, e, e)
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

// repeated is a broken source of nonces.
type repeated struct{}

func (repeated) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// TestReplayNeedsFreshNonces shows that the refusal of a replayed session comes
// from the listener's nonce: a listener that repeats its own takes it.
func TestReplayNeedsFreshNonces(t *testing.T) {
	e, _ := endpoint(oldKey)
	broken, refused := endpoint(oldKey)
	broken.random = repeated{}
	client, server, recorded := session(t, e, broken)
	mustWrite(t, client, "first")
	mustRead(t, server, "first")

	attacker, accepted := sockets(t)
	if _, err := attacker.Write(recorded.bytes); err != nil {
		t.Fatal(err)
	}
	c, err := broken.Server(accepted)
	if err != nil {
		t.Fatalf("the broken listener refused the replay: %v", refused())
	}
	mustRead(t, c, "first")
}

func TestParseKeys(t *testing.T) {
	cases := []struct {
		text  string
		fault string
	}{
		{"a:30313233343536373839616263646566", ""},
		{"a:30313233343536373839616263646566, b:40313233343536373839616263646566", ""},
		{"30313233343536373839616263646566", "id:hex"},
		{"a:3031", "least is 16"},
		{"a:xyz", "not hexadecimal"},
		{"a:30313233343536373839616263646566,a:30313233343536373839616263646566", "stands twice"},
	}
	for _, c := range cases {
		_, err := ParseKeys(c.text)
		if c.fault == "" && err != nil || c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)) {
			t.Errorf("%q: error %v, want %q", c.text, err, c.fault)
		}
	}
}

// FuzzListener feeds a listener any bytes: it never accepts them, and counts at
// most one refusal.
func FuzzListener(f *testing.F) {
	bytes := genuine(f)
	for _, a := range attacks {
		f.Add(a.bytes(bytes))
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
