package exchanger

import (
	"bytes"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/scanner"
)

const (
	// maxSkippedBytes bounds the body of a response to another request, which is read only
	// to find the next response.
	maxSkippedBytes = 1 << 20
	// maxStreamBytes bounds the body of a response that is passed on while it arrives, the
	// greatest that users need.
	maxStreamBytes = 64 << 20
	// firstPartBytes is how much of a body is read before the response is passed on. Until
	// then, the request may be retried. Smaller responses are passed on as a whole.
	firstPartBytes = 256 << 10
	// minPartBytes is how much is read if there is no memory for firstPartBytes.
	minPartBytes = 32 << 10
)

// errTooLarge is returned for a body that exceeds its limit.
var errTooLarge = trace.LimitExceeded("the body of the target's response exceeds its size limit")

// hasBody reports whether a body follows the head of a response.
func hasBody(parsed *http.Response, method string) bool {
	return method != http.MethodHead && parsed.StatusCode >= http.StatusOK &&
		parsed.StatusCode != http.StatusNoContent && parsed.StatusCode != http.StatusNotModified
}

// newBody returns a reader of the body that follows the head of a response, and the
// length of the body or -1 if it is unknown. A body with neither Content-Length nor
// chunked encoding ends when the target closes the connection.
func (c *conn) newBody(parsed *http.Response, method string) (body io.Reader, length int64) {
	switch {
	case !hasBody(parsed, method):
		return http.NoBody, 0
	case len(parsed.TransferEncoding) > 0:
		return scanner.NewChunkedReader(c.reader), -1
	case parsed.ContentLength >= 0:
		return &exactReader{c.reader, parsed.ContentLength}, parsed.ContentLength
	}
	return &unframedReader{c}, -1
}

// unframedReader reads a body that ends with its connection. A body that is cut off by the loss
// of the connection is an error.
type unframedReader struct{ conn *conn }

// Read implements io.Reader.
func (r *unframedReader) Read(p []byte) (int, error) {
	n, err := r.conn.reader.Read(p)
	if err == io.EOF {
		if lost := r.conn.endWrite(); lost != nil {
			err = lost
		}
	}
	return n, err
}

// exactReader reads a body of a known length. A body that ends early is an error.
type exactReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (r *exactReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if err == io.EOF && r.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readWhole reads a body of at most maxBytes. While memory is short, it reads only small ones.
func (c *conn) readWhole(body io.Reader, length, maxBytes int64) ([]byte, error) {
	content, reserved, err := c.exchanger.Whole.ReadBody(body, length, maxBytes, minPartBytes)
	// Whoever holds the response counts it from now on.
	c.exchanger.Whole.Release(reserved)
	return content, trace.Wrap(err, "the target's response cannot be read as a whole")
}

// readUpTo reads a body to its end, but at most maxBytes.
func readUpTo(body io.Reader, length, maxBytes int64) ([]byte, error) {
	b := &bytes.Buffer{}
	if length >= 0 {
		// ReadFrom needs some free space to see the end of the body.
		b.Grow(int(min(length, maxBytes)) + bytes.MinRead)
	}
	_, err := b.ReadFrom(io.LimitReader(body, maxBytes))
	return b.Bytes(), trace.Wrap(err, "the body of the target's response is incomplete")
}

// readFirst reads the body of a response to a request that streams: all of it, or a first
// part. The part is smaller while there is little memory.
func (c *conn) readFirst(body io.Reader, length int64) (content []byte, complete bool, err error) {
	if length > maxStreamBytes {
		return nil, false, errTooLarge
	}
	m, size := c.exchanger.Memory, int64(firstPartBytes)
	if m != nil && !m.Take(size) {
		size = minPartBytes
		m.Force(size)
	}
	if m != nil {
		defer m.Release(size)
	}
	content, err = readUpTo(body, length, size+1)
	// Of a longer body, size+1 bytes have been read.
	return content, int64(len(content)) <= size, err
}

// skipBody reads and discards the body of a response to another request.
func skipBody(body io.Reader, length int64) error {
	if length > maxSkippedBytes {
		return errTooLarge
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err != nil {
		return trace.Wrap(err, "the body of a response to another request is incomplete")
	}
	if n > maxSkippedBytes {
		return errTooLarge
	}
	return nil
}
