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
	// overhead is what a frame adds to its payload after the length.
	overhead = sequenceBytes + macBytes
	// step bounds the memory taken ahead of the bytes that have arrived.
	step = 64 << 10
)

// Conn is one authenticated connection between two instances.
type Conn struct {
	socket   net.Conn
	endpoint *Endpoint
	// remote is set before the handshake returns and never changes.
	remote Identity

	reader *bufio.Reader
	// received is the sequence number of the next frame to arrive; only the
	// reading goroutine uses it, in and echo.
	received uint64
	in       hash.Hash
	// echo recognizes frames that this side sent.
	echo hash.Hash

	// writing guards sent, out and the writing half of the socket.
	writing sync.Mutex
	sent    uint64
	out     hash.Hash
	// finished means that no more is written, guarded by writing.
	finished bool
}

func newConn(socket net.Conn, endpoint *Endpoint) *Conn {
	return &Conn{socket: socket, endpoint: endpoint, reader: bufio.NewReader(socket)}
}

// Remote returns the identity that the other side proved to share a key with.
func (c *Conn) Remote() Identity { return c.remote }

// Close ends the connection. It may be called more than once and from any goroutine.
func (c *Conn) Close() error { return c.socket.Close() }

// CloseWrite writes no more and leaves the connection open for reading, for some
// time at most. Closed with bytes of the other side unread, it would be reset,
// and what was written last could be lost on its way.
func (c *Conn) CloseWrite(limit time.Duration) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.finished = true
	half, ok := c.socket.(interface{ CloseWrite() error })
	if !ok {
		return c.socket.Close()
	}
	if err := c.socket.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(half.CloseWrite())
}

// Write sends one message and returns its size on the wire. It may be called
// from several goroutines.
func (c *Conn) Write(m Message) (int, error) {
	payload, err := msgpack.Marshal(&m)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if len(payload) > c.endpoint.MaxPayloadBytes {
		return 0, trace.LimitExceeded("a message of %d bytes is longer than a frame of %d", len(payload), c.endpoint.MaxPayloadBytes)
	}
	if err := c.writeFrame(payload); err != nil {
		return 0, err
	}
	return lengthBytes + overhead + len(payload), nil
}

// Read returns the next message and its size on the wire. One goroutine calls
// it; after an error the connection is of no further use.
func (c *Conn) Read() (Message, int, error) {
	payload, err := c.readFrame()
	if err != nil {
		return Message{}, 0, c.refuse(err)
	}
	m := Message{}
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return Message{}, 0, c.refuse(&Refusal{Cause: Undecodable})
	}
	return m, lengthBytes + overhead + len(payload), nil
}

// refuse counts a refusal and ends the connection.
func (c *Conn) refuse(err error) error {
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

// writeFrame signs and sends one payload.
func (c *Conn) writeFrame(payload []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.finished {
		return trace.ConnectionProblem(nil, "the connection to peer %s is closed for writing", c.remote.Peer)
	}
	body := make([]byte, 0, lengthBytes+overhead+len(payload))
	body = binary.BigEndian.AppendUint64(body, c.sent)
	body = append(body, payload...)
	c.sent++
	return c.writeBlock(body, authenticate(c.out, body))
}

// readFrame returns the payload of the next frame after checking its origin and place.
func (c *Conn) readFrame() ([]byte, error) {
	block, err := c.readBlock(c.endpoint.MaxPayloadBytes + overhead)
	if err != nil {
		return nil, err
	}
	if len(block) < overhead {
		return nil, &Refusal{Cause: Garbage}
	}
	body, mac := block[:len(block)-macBytes], block[len(block)-macBytes:]
	if !hmac.Equal(mac, authenticate(c.in, body)) {
		if hmac.Equal(mac, authenticate(c.echo, body)) {
			return nil, &Refusal{Cause: Reflected}
		}
		return nil, &Refusal{Cause: Forged}
	}
	sequence := binary.BigEndian.Uint64(body)
	if sequence < c.received {
		return nil, &Refusal{Cause: Replayed}
	}
	if sequence > c.received {
		return nil, &Refusal{Cause: Reordered}
	}
	c.received++
	return body[sequenceBytes:], nil
}

func authenticate(m hash.Hash, body []byte) []byte {
	m.Reset()
	m.Write(body)
	sum := [sha256.Size]byte{}
	return m.Sum(sum[:0])[:macBytes]
}

// writeBlock sends a length and two parts in one write.
func (c *Conn) writeBlock(body, trailer []byte) error {
	block := make([]byte, 0, lengthBytes+len(body)+len(trailer))
	block = binary.BigEndian.AppendUint32(block, uint32(len(body)+len(trailer)))
	block = append(append(block, body...), trailer...)
	if err := c.socket.SetWriteDeadline(time.Now().Add(c.endpoint.Timeout)); err != nil {
		return trace.Wrap(err)
	}
	if _, err := c.socket.Write(block); err != nil {
		// A part of the block may have left, so that no later one can be understood.
		c.Close()
		return trace.ConnectionProblem(err, "writing to peer %s", c.remote.Peer)
	}
	return nil
}

// readBlock reads a length and that many bytes.
func (c *Conn) readBlock(limit int) ([]byte, error) {
	length := [lengthBytes]byte{}
	if n, err := io.ReadFull(c.reader, length[:]); err != nil {
		return nil, ending(err, n > 0)
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > limit {
		return nil, &Refusal{Cause: Oversized}
	}
	var block []byte
	for len(block) < size {
		n := min(step, size-len(block))
		start := len(block)
		block = append(block, make([]byte, n)...)
		if _, err := io.ReadFull(c.reader, block[start:]); err != nil {
			return nil, ending(err, true)
		}
	}
	return block, nil
}

// ending tells a connection that ended between frames from one that broke off.
func ending(err error, within bool) error {
	if within && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		return &Refusal{Cause: Truncated}
	}
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return trace.ConnectionProblem(err, "reading from a peer")
}
