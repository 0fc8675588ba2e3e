package framer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	lengthBytes   = 4
	sequenceBytes = 8
	macBytes      = 16
	// frameOverheadBytes is the size of a frame without its length and payload.
	frameOverheadBytes = sequenceBytes + macBytes
	// readStepBytes bounds the memory that is allocated before the bytes for it have
	// arrived, so that a forged length does not allocate a whole frame.
	readStepBytes = 64 << 10
)

// Conn is one authenticated connection between two instances.
type Conn struct {
	socket   net.Conn
	endpoint *Endpoint
	// remote and capabilities are set before the handshake returns and never change.
	remote       Identity
	capabilities Capabilities

	reader *bufio.Reader
	// nextReceived is the sequence number of the next frame to receive. Only the
	// reading goroutine uses nextReceived, receiveMAC and reflectionMAC.
	nextReceived uint64
	receiveMAC   hash.Hash
	// reflectionMAC recognizes frames that this side sent.
	reflectionMAC hash.Hash

	// writeMutex guards nextSent, sendMAC, writeClosed and writing to the socket.
	writeMutex sync.Mutex
	nextSent   uint64
	sendMAC    hash.Hash
	// writeClosed means that no more frames are written.
	writeClosed bool
}

func newConn(socket net.Conn, endpoint *Endpoint) *Conn {
	return &Conn{socket: socket, endpoint: endpoint, reader: bufio.NewReader(socket)}
}

// Remote returns the identity that the other side sent in its hello. The handshake
// proved that the other side has a shared key.
func (c *Conn) Remote() Identity { return c.remote }

// Capabilities returns what the other side sent after its hello. It is zero for a build
// that sends none.
func (c *Conn) Capabilities() Capabilities { return c.capabilities }

// Close closes the connection. It may be called more than once and from any
// goroutine.
func (c *Conn) Close() error { return c.socket.Close() }

// CloseWrite closes the connection for writing and leaves it open for reading until
// readTimeout has passed. Closing it completely with unread bytes would reset it,
// and the other side could lose the last messages.
func (c *Conn) CloseWrite(readTimeout time.Duration) error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	c.writeClosed = true
	halfCloser, ok := c.socket.(interface{ CloseWrite() error })
	if !ok {
		return c.socket.Close()
	}
	if err := c.socket.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(halfCloser.CloseWrite())
}

// Write sends one message and returns its size on the wire. It may be called
// from several goroutines.
func (c *Conn) Write(m Message) (int, error) {
	payload, err := msgpack.Marshal(&m)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if len(payload) > c.endpoint.MaxPayloadBytes {
		return 0, trace.LimitExceeded("the message has %d bytes, the greatest payload of a frame is %d", len(payload), c.endpoint.MaxPayloadBytes)
	}
	if err := c.writeFrame(payload); err != nil {
		return 0, err
	}
	return lengthBytes + frameOverheadBytes + len(payload), nil
}

// Read returns the next message and its size on the wire. Only one goroutine may
// call it. An error closes the connection.
func (c *Conn) Read() (Message, int, error) {
	payload, err := c.readFrame()
	if err != nil {
		return Message{}, 0, c.closeRefused(err)
	}
	m := Message{}
	if err := Unmarshal(payload, &m); err != nil {
		return Message{}, 0, c.closeRefused(&Refusal{Cause: Undecodable})
	}
	return m, lengthBytes + frameOverheadBytes + len(payload), nil
}

// closeRefused closes the connection and reports err if it is a refusal. It returns
// err.
func (c *Conn) closeRefused(err error) error {
	if cause, refused := causeOf(err); refused && c.endpoint.OnRefusal != nil {
		c.endpoint.OnRefusal(cause)
	}
	c.Close()
	return err
}

func causeOf(err error) (Cause, bool) {
	r := &Refusal{}
	if errors.As(err, &r) {
		return r.Cause, true
	}
	return 0, false
}

// writeFrame sends one payload in an authenticated frame.
func (c *Conn) writeFrame(payload []byte) error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.writeClosed {
		return trace.ConnectionProblem(nil, "the connection to peer %s is closed for writing", c.remote.Peer)
	}
	body := make([]byte, 0, lengthBytes+frameOverheadBytes+len(payload))
	body = binary.BigEndian.AppendUint64(body, c.nextSent)
	body = append(body, payload...)
	c.nextSent++
	return c.writeBlock(body, computeMAC(c.sendMAC, body))
}

// readFrame returns the payload of the next frame. It checks the sender of the frame
// and its position in the sequence.
func (c *Conn) readFrame() ([]byte, error) {
	block, err := c.readBlock(c.endpoint.MaxPayloadBytes + frameOverheadBytes)
	if err != nil {
		return nil, err
	}
	if len(block) < frameOverheadBytes {
		return nil, &Refusal{Cause: Garbage}
	}
	body, mac := block[:len(block)-macBytes], block[len(block)-macBytes:]
	if !hmac.Equal(mac, computeMAC(c.receiveMAC, body)) {
		if hmac.Equal(mac, computeMAC(c.reflectionMAC, body)) {
			return nil, &Refusal{Cause: Reflected}
		}
		return nil, &Refusal{Cause: Forged}
	}
	sequence := binary.BigEndian.Uint64(body)
	if sequence < c.nextReceived {
		return nil, &Refusal{Cause: Replayed}
	}
	if sequence > c.nextReceived {
		return nil, &Refusal{Cause: Reordered}
	}
	c.nextReceived++
	return body[sequenceBytes:], nil
}

func computeMAC(m hash.Hash, body []byte) []byte {
	m.Reset()
	m.Write(body)
	sum := [sha256.Size]byte{}
	return m.Sum(sum[:0])[:macBytes]
}

// writeBlock sends the length, body and MAC of a block in one write.
func (c *Conn) writeBlock(body, mac []byte) error {
	block := make([]byte, 0, lengthBytes+len(body)+len(mac))
	block = binary.BigEndian.AppendUint32(block, uint32(len(body)+len(mac)))
	block = append(append(block, body...), mac...)
	if err := c.socket.SetWriteDeadline(time.Now().Add(c.endpoint.Timeout)); err != nil {
		return trace.Wrap(err)
	}
	if _, err := c.socket.Write(block); err != nil {
		// Part of the block may have been sent, so the other side cannot decode later
		// blocks.
		c.Close()
		return trace.ConnectionProblem(err, "writing to peer %s", c.remote.Peer)
	}
	return nil
}

// readBlock reads the length of a block and that many bytes. It refuses a block
// longer than limit bytes.
func (c *Conn) readBlock(limit int) ([]byte, error) {
	length := [lengthBytes]byte{}
	if n, err := io.ReadFull(c.reader, length[:]); err != nil {
		return nil, readError(err, n > 0)
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > limit {
		return nil, &Refusal{Cause: Oversized}
	}
	var block []byte
	for len(block) < size {
		n := min(readStepBytes, size-len(block))
		start := len(block)
		block = append(block, make([]byte, n)...)
		if _, err := io.ReadFull(c.reader, block[start:]); err != nil {
			return nil, readError(err, true)
		}
	}
	return block, nil
}

// readError converts an error of reading a block: to io.EOF if the connection ended
// between blocks, and to a refusal if it ended within one (partial).
func readError(err error, partial bool) error {
	if partial && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		return &Refusal{Cause: Truncated}
	}
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return trace.ConnectionProblem(err, "reading from a peer")
}
