package framer

import (
	"context"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// protocol is the version of the handshake and of the frames.
	protocol = 1
	// maxHello is the largest hello in bytes; it bounds what a stranger can make
	// an instance hold.
	maxHello   = 1 << 10
	nonceBytes = 32
	keyBytes   = 32
)

// The labels keep a signature or key of one purpose from standing for another.
const (
	labelDialer   = "oriolecourse peer 1 dialer"
	labelListener = "oriolecourse peer 1 listener"
)

// Identity names one run of an instance.
type Identity struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Peer is the address where the instance accepts connections of other instances.
	Peer netip.AddrPort
	// Incarnation is drawn at random at each start.
	Incarnation uint64
}

// Endpoint holds what one instance brings to all of its connections.
type Endpoint struct {
	// Identity is sent in the hello.
	Identity Identity
	// Keys returns the present key set.
	Keys func() Keys
	// OnRefusal counts a refusal; it may be nil.
	OnRefusal func(Cause)
	// MaxPayloadBytes is the largest payload in bytes.
	MaxPayloadBytes int
	// Timeout bounds dialing, the handshake and each write.
	Timeout time.Duration

	// random is the source of nonces; nil is the system's.
	random io.Reader
}

// nonce returns fresh random bytes.
func (e *Endpoint) nonce() ([]byte, error) {
	source := e.random
	if source == nil {
		source = rand.Reader
	}
	n := make([]byte, nonceBytes)
	_, err := io.ReadFull(source, n)
	return n, trace.Wrap(err)
}

// hello opens a session.
type hello struct {
	_msgpack struct{} `msgpack:",as_array"`

	Protocol uint8
	Key      string
	Nonce    []byte
	Identity Identity
}

// Dial connects to an instance and completes the handshake.
func (e *Endpoint) Dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	d := net.Dialer{}
	socket, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialing peer %s", address)
	}
	stop := context.AfterFunc(ctx, func() { socket.Close() })
	defer stop()
	c, err := e.Client(socket)
	if err != nil {
		socket.Close()
		return nil, trace.Wrap(err, "handshake with peer %s", address)
	}
	return c, nil
}

// Client runs the dialing side of the handshake on a connected socket.
func (e *Endpoint) Client(socket net.Conn) (*Conn, error) {
	return e.handshake(socket, e.greet)
}

// Server runs the listening side of the handshake on an accepted socket.
func (e *Endpoint) Server(socket net.Conn) (*Conn, error) {
	return e.handshake(socket, e.welcome)
}

// handshake bounds one side of the handshake in time and counts its refusal.
func (e *Endpoint) handshake(socket net.Conn, side func(*Conn) error) (*Conn, error) {
	if err := socket.SetDeadline(time.Now().Add(e.Timeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	c := newConn(socket, e)
	if err := side(c); err != nil {
		return nil, c.refuse(err)
	}
	if err := socket.SetDeadline(time.Time{}); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// greet sends the dialer's hello, checks the listener's and confirms.
func (e *Endpoint) greet(c *Conn) error {
	keys := e.Keys()
	if len(keys) == 0 {
		return trace.BadParameter("the key set is empty")
	}
	sent, err := e.sendHello(c, &keys[0], labelDialer, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	h, received, err := receiveHello(c, keys[:1], labelListener, sent)
	if err != nil {
		return trace.Wrap(err)
	}
	c.remote = h.Identity
	if err := c.derive(&keys[0], sent, received, labelDialer, labelListener); err != nil {
		return trace.Wrap(err)
	}
	return c.writeFrame(nil)
}

// welcome checks the dialer's hello, answers it and waits for the confirmation.
func (e *Endpoint) welcome(c *Conn) error {
	keys := e.Keys()
	h, received, err := receiveHello(c, keys, labelDialer, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	key := keys.find(h.Key)
	sent, err := e.sendHello(c, key, labelListener, received)
	if err != nil {
		return trace.Wrap(err)
	}
	c.remote = h.Identity
	if err := c.derive(key, received, sent, labelListener, labelDialer); err != nil {
		return trace.Wrap(err)
	}
	payload, err := c.readFrame()
	if cause, refused := causeOf(err); refused && cause == Forged {
		return &Refusal{Cause: Unconfirmed}
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if len(payload) != 0 {
		return &Refusal{Cause: Garbage}
	}
	return nil
}

// sendHello signs a hello together with the one that it answers.
func (e *Endpoint) sendHello(c *Conn, key *Key, label string, answered []byte) ([]byte, error) {
	nonce, err := e.nonce()
	if err != nil {
		return nil, err
	}
	text, err := msgpack.Marshal(&hello{Protocol: protocol, Key: key.ID, Nonce: nonce, Identity: e.Identity})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return text, c.writeBlock(text, sign(key.Secret, label, answered, text))
}

// receiveHello reads a hello and checks that it is signed with one of the keys.
func receiveHello(c *Conn, keys Keys, label string, answered []byte) (*hello, []byte, error) {
	block, err := c.readBlock(maxHello)
	if err != nil {
		return nil, nil, err
	}
	if len(block) < sha256.Size {
		return nil, nil, &Refusal{Cause: Garbage}
	}
	text, signature := block[:len(block)-sha256.Size], block[len(block)-sha256.Size:]
	h := &hello{}
	if err := msgpack.Unmarshal(text, h); err != nil || h.Protocol != protocol || len(h.Nonce) != nonceBytes {
		return nil, nil, &Refusal{Cause: Garbage}
	}
	key := keys.find(h.Key)
	if key == nil {
		return nil, nil, &Refusal{Cause: UnknownKey}
	}
	if !hmac.Equal(signature, sign(key.Secret, label, answered, text)) {
		return nil, nil, &Refusal{Cause: UnsignedHello}
	}
	return h, text, nil
}

func sign(secret []byte, label string, parts ...[]byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(label))
	for _, p := range parts {
		sum := sha256.Sum256(p)
		m.Write(sum[:])
	}
	return m.Sum(nil)
}

// derive sets the keys of both directions from the secret and both hellos.
func (c *Conn) derive(key *Key, dialer, listener []byte, out, in string) error {
	d := sha256.Sum256(dialer)
	l := sha256.Sum256(listener)
	salt := append(d[:], l[:]...)
	send, err := hkdf.Key(sha256.New, key.Secret, salt, out, keyBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	receive, err := hkdf.Key(sha256.New, key.Secret, salt, in, keyBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	c.out = hmac.New(sha256.New, send)
	c.in = hmac.New(sha256.New, receive)
	c.echo = hmac.New(sha256.New, send)
	return nil
}
