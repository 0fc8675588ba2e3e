package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/streamer"
)

// writeResponses writes the responses in the order of the requests. It returns when
// the queue is closed and empty.
func (c *conn) writeResponses(cancel context.CancelFunc) {
	writeFailed := false
	for x := range c.queue {
		response := <-x.response
		size := int64(len(response.Body))
		last := c.isLastResponse(x)
		if !writeFailed {
			if err := c.writeResponse(response, x, last); err != nil {
				// The client cannot be reached, or its response ends early: cancel its other
				// pending requests.
				writeFailed = true
				cancel()
				c.socket.Close()
			}
		}
		if response.Rest != nil {
			response.Rest.Close()
		}
		c.acceptor.Memory.Release(size)
		c.acceptor.bodies.Release(x.bodyBytes)
		c.finishRequest()
	}
}

// writeResponse writes one response. After an error the client may have received only
// a part of it, and the connection must be closed.
func (c *conn) writeResponse(response *Response, x *exchange, last bool) error {
	if response.Rest != nil && isClosed(response.Rest.Failed()) {
		// The response broke off while an earlier one was being written.
		response = &Response{Status: http.StatusBadGateway}
	}
	head, hasBody := encodeHead(response, x, last)
	if !hasBody {
		return c.write(head)
	}
	if response.Rest == nil {
		return c.write(head, response.Body)
	}
	framing, finished := framings[framingOf(response, x)], make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-response.Rest.Failed():
			// A write may be waiting for the client.
			c.reset()
		case <-finished:
		}
	}()
	if err := c.write(append(net.Buffers{head}, framing.frame(response.Body)...)...); err != nil {
		return err
	}
	err := c.writeRest(response.Rest, framing)
	if err != nil {
		c.reset()
	}
	return err
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// reset closes the connection in a way that the client cannot take for the end of a body.
func (c *conn) reset() {
	if t, ok := c.socket.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.socket.Close()
}

// writeRest writes the pieces of a body as they arrive.
func (c *conn) writeRest(rest *streamer.Body, f framing) error {
	for deadline := time.Now().Add(streamTimeout); time.Now().Before(deadline); {
		piece, err := rest.Next()
		if err == io.EOF {
			return c.write(f.end)
		}
		if err != nil {
			return err
		}
		if err := c.write(f.frame(piece)...); err != nil {
			return err
		}
	}
	return trace.LimitExceeded("the client has not read its response within %s", streamTimeout)
}

// write writes buffers within writeTimeout.
func (c *conn) write(buffers ...[]byte) error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	all := net.Buffers(buffers)
	n, err := all.WriteTo(c.socket)
	c.acceptor.written.Add(uint64(n))
	return err
}

// bodyFraming says how the end of a body is marked.
type bodyFraming int

const (
	// byLength bodies end after the bytes that Content-Length names.
	byLength bodyFraming = iota
	// byChunks bodies end with an empty chunk.
	byChunks
	// byClose bodies end with the connection.
	byClose
)

// framing writes the pieces and the end of a body.
type framing struct {
	frame func(piece []byte) net.Buffers
	end   []byte
}

var framings = map[bodyFraming]framing{
	byLength: {frame: plain},
	byChunks: {frame: chunk, end: []byte("0\r\n\r\n")},
	byClose:  {frame: plain},
}

func plain(piece []byte) net.Buffers { return net.Buffers{piece} }

func chunk(piece []byte) net.Buffers {
	if len(piece) == 0 {
		// An empty chunk would end the body.
		return nil
	}
	return net.Buffers{strconv.AppendInt(nil, int64(len(piece)), 16), []byte("\r\n"), piece, []byte("\r\n")}
}

func framingOf(response *Response, x *exchange) bodyFraming {
	switch {
	case response.Rest == nil || response.Length >= 0:
		return byLength
	case x.isHTTP10:
		return byClose
	}
	return byChunks
}

// encodeHead returns the head of a response as HTTP/1.1, and whether the body follows.
// It computes the Content-Length from the body. A response to HEAD and a 304 response
// have no body and keep the Content-Length of their header; a 204 response has none.
func encodeHead(response *Response, x *exchange, last bool) (head []byte, hasBody bool) {
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", response.Status, http.StatusText(response.Status))
	length := ""
	for name, values := range response.Header {
		if name == "Content-Length" {
			length = values[0]
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	hasBody = x.method != http.MethodHead && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified
	switch framing := framingOf(response, x); {
	case !hasBody:
	case framing != byLength:
		length = ""
	case response.Rest != nil:
		length = strconv.FormatInt(response.Length, 10)
	default:
		length = strconv.Itoa(len(response.Body))
	}
	if length != "" && response.Status != http.StatusNoContent {
		b.WriteString("Content-Length: " + length + "\r\n")
	}
	if hasBody && framingOf(response, x) == byChunks {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), hasBody
}

// hopByHopFields are the header fields that concern only one connection. They are
// not passed on (RFC 9110, 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop fields: hopByHopFields and the fields that
// the Connection header names.
func StripHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}
