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
	// protocolVersion is the version of the handshake and of the frames.
	protocolVersion = 1
	// maxHelloBytes bounds the memory that an unauthenticated peer can make an instance
	// hold.
	maxHelloBytes = 1 << 10
	nonceBytes    = 32
	keyBytes      = 32
	// maxBuildBytes leaves most of maxHelloBytes to the hello. The name of a commit has 40
	// bytes.
	maxBuildBytes = 64
)

// The labels separate the signatures and keys of the two sides, so that a signature
// or key of one side is not valid for the other.
const (
	labelDialer   = "oriolecourse peer 1 dialer"
	labelListener = "oriolecourse peer 1 listener"
)

// Identity identifies one run of an instance.
type Identity struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Peer is the address where the instance accepts connections of other instances.
	Peer netip.AddrPort
	// Incarnation is a random number that the instance chooses at each start. It
	// distinguishes the runs of an instance at the same address.
	Incarnation uint64
}

// Capabilities tells the other side which build an instance runs and what the build
// understands. It follows the hello as a value of its own, which builds that don't know it
// ignore.
type Capabilities struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Features is a set of bits. The caller of this package gives them their meaning.
	Features uint64
	// Build is the name of the build, at most maxBuildBytes long.
	Build string
}

// Endpoint holds the settings of one instance for all of its connections.
type Endpoint struct {
	// Identity is sent in the hello.
	Identity Identity
	// Capabilities is sent after the hello.
	Capabilities Capabilities
	// Keys returns the current key set.
	Keys func() Keys
	// OnRefusal is called for each refusal. It may be nil.
	OnRefusal func(Cause)
	// MaxPayloadBytes bounds the payload of a frame.
	MaxPayloadBytes int
	// Timeout bounds dialing, the handshake and each write.
	Timeout time.Duration

	// random is the source of nonces. If it is nil, crypto/rand is used.
	random io.Reader
}

// nonce returns nonceBytes new random bytes.
func (e *Endpoint) nonce() ([]byte, error) {
	source := e.random
	if source == nil {
		source = rand.Reader
	}
	n := make([]byte, nonceBytes)
	_, err := io.ReadFull(source, n)
	return n, trace.Wrap(err)
}

// hello is the first block that each side of a connection sends.
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
	return e.handshake(socket, e.clientHandshake)
}

// Server runs the listening side of the handshake on an accepted socket.
func (e *Endpoint) Server(socket net.Conn) (*Conn, error) {
	return e.handshake(socket, e.serverHandshake)
}

// handshake runs one side of the handshake within Timeout and reports a refusal.
func (e *Endpoint) handshake(socket net.Conn, run func(*Conn) error) (*Conn, error) {
	if err := socket.SetDeadline(time.Now().Add(e.Timeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	c := newConn(socket, e)
	if err := run(c); err != nil {
		return nil, c.closeRefused(err)
	}
	if err := socket.SetDeadline(time.Time{}); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// clientHandshake sends the dialer's hello, checks the listener's hello and confirms
// the session with an empty frame.
func (e *Endpoint) clientHandshake(c *Conn) error {
	keys := e.Keys()
	if len(keys) == 0 {
		return trace.BadParameter("the key set is empty")
	}
	sent, err := e.sendHello(c, &keys[0], labelDialer, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	_, received, err := receiveHello(c, keys[:1], labelListener, sent)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.deriveKeys(&keys[0], sent, received, labelDialer, labelListener); err != nil {
		return trace.Wrap(err)
	}
	return c.writeFrame(nil)
}

// serverHandshake checks the dialer's hello, responds with the listener's hello and
// waits for the confirmation.
func (e *Endpoint) serverHandshake(c *Conn) error {
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
	if err := c.deriveKeys(key, received, sent, labelListener, labelDialer); err != nil {
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

// sendHello sends a hello with the capabilities. Its signature also covers the hello that it responds to,
// if there is one. It returns the encoded hello.
func (e *Endpoint) sendHello(c *Conn, key *Key, label string, previous []byte) ([]byte, error) {
	nonce, err := e.nonce()
	if err != nil {
		return nil, err
	}
	text, err := msgpack.Marshal(&hello{Protocol: protocolVersion, Key: key.ID, Nonce: nonce, Identity: e.Identity})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	capabilities := e.Capabilities
	capabilities.Build = capabilities.Build[:min(len(capabilities.Build), maxBuildBytes)]
	extension, err := msgpack.Marshal(&capabilities)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	text = append(text, extension...)
	return text, c.writeBlock(text, sign(key.Secret, label, previous, text))
}

// receiveHello reads a hello and checks that it is signed with one of the keys. It records
// the identity and the capabilities of the other side, and returns the hello and its
// encoding.
func receiveHello(c *Conn, keys Keys, label string, previous []byte) (*hello, []byte, error) {
	block, err := c.readBlock(maxHelloBytes)
	if err != nil {
		return nil, nil, err
	}
	if len(block) < sha256.Size {
		return nil, nil, &Refusal{Cause: Garbage}
	}
	text, signature := block[:len(block)-sha256.Size], block[len(block)-sha256.Size:]
	h, capabilities := &hello{}, Capabilities{}
	if err := unmarshalSequence(text, h, &capabilities); err != nil || h.Protocol != protocolVersion || len(h.Nonce) != nonceBytes {
		return nil, nil, &Refusal{Cause: Garbage}
	}
	key := keys.find(h.Key)
	if key == nil {
		return nil, nil, &Refusal{Cause: UnknownKey}
	}
	if !hmac.Equal(signature, sign(key.Secret, label, previous, text)) {
		return nil, nil, &Refusal{Cause: UnsignedHello}
	}
	c.remote, c.capabilities = h.Identity, capabilities
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

// deriveKeys derives the keys of both directions from the secret and both hellos.
func (c *Conn) deriveKeys(key *Key, dialer, listener []byte, sendLabel, receiveLabel string) error {
	dialerHash := sha256.Sum256(dialer)
	listenerHash := sha256.Sum256(listener)
	salt := append(dialerHash[:], listenerHash[:]...)
	sendKey, err := hkdf.Key(sha256.New, key.Secret, salt, sendLabel, keyBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	receiveKey, err := hkdf.Key(sha256.New, key.Secret, salt, receiveLabel, keyBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	c.sendMAC = hmac.New(sha256.New, sendKey)
	c.receiveMAC = hmac.New(sha256.New, receiveKey)
	c.reflectionMAC = hmac.New(sha256.New, sendKey)
	return nil
}
