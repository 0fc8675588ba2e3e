package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// errHeaderTooLong is returned for a header or trailer that exceeds its limit.
var errHeaderTooLong = trace.LimitExceeded("the header or trailer of the request exceeds its size limit")

// readHead reads the head of a request: the request line and the header, up to the
// empty line.
func readHead(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var head []byte
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		if head = append(head, part...); len(head) > maxBytes {
			return nil, errHeaderTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		line := bytes.TrimRight(head[lineStart:], "\r\n")
		lineStart = len(head)
		if len(line) > 0 {
			continue
		}
		if len(bytes.TrimSpace(head)) > 0 {
			return head, nil
		}
		// Empty lines before a request are skipped (RFC 9112, 2.2).
		head, lineStart = head[:0], 0
	}
}

// parseHead parses a head. It refuses a request with both Content-Length and
// Transfer-Encoding, because two HTTP parsers may disagree on where its body ends
// (request smuggling).
func parseHead(head []byte) (*http.Request, error) {
	h, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, err}
	}
	for line := range bytes.Lines(head[bytes.IndexByte(head, '\n')+1:]) {
		name, _, found := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if found && !httpguts.ValidHeaderFieldName(string(name)) {
			return nil, &requestError{http.StatusBadRequest, trace.BadParameter("the header field name %q is not valid", name)}
		}
	}
	lower := bytes.ToLower(head)
	if bytes.Contains(lower, []byte("\ncontent-length:")) && bytes.Contains(lower, []byte("\ntransfer-encoding:")) {
		return nil, &requestError{http.StatusBadRequest, trace.BadParameter("the request has both Content-Length and Transfer-Encoding")}
	}
	if h.ProtoMajor != 1 {
		return nil, &requestError{http.StatusHTTPVersionNotSupported, trace.BadParameter("the protocol version %s is not supported, want HTTP/1.0 or HTTP/1.1", h.Proto)}
	}
	return h, nil
}

// bodyReader returns a reader of the request body that follows the head h in r.
func bodyReader(r *bufio.Reader, h *http.Request) io.Reader {
	if len(h.TransferEncoding) == 0 {
		return io.LimitReader(r, h.ContentLength)
	}
	return io.MultiReader(httputil.NewChunkedReader(r), &trailerReader{r})
}

// maxTrailerBytes bounds the trailer of a body. Trailers are not passed on.
const maxTrailerBytes = 4 << 10

// trailerReader reads and discards the trailer after the last chunk.
type trailerReader struct{ reader *bufio.Reader }

// Read implements io.Reader.
func (t *trailerReader) Read([]byte) (int, error) {
	for remaining := maxTrailerBytes; remaining > 0; {
		line, err := t.reader.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return 0, io.EOF
		}
		remaining -= len(line)
	}
	return 0, errHeaderTooLong
}

// deadlineReader sets a new read deadline before each read of a body.
type deadlineReader struct {
	conn *conn
	body io.Reader
}

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	_ = r.conn.socket.SetReadDeadline(time.Now().Add(bodyTimeout))
	return r.body.Read(p)
}

// memoryWriter adds the number of bytes written to it to the total of all bodies.
type memoryWriter struct {
	total    *atomic.Int64
	maxTotal int64
	written  int64
}

// Write implements io.Writer. It fails if the total exceeds maxTotal.
func (c *memoryWriter) Write(p []byte) (int, error) {
	c.written += int64(len(p))
	if c.total.Add(int64(len(p))) > c.maxTotal {
		return 0, errBodyMemory
	}
	return len(p), nil
}

// release subtracts the written bytes from the total.
func (c *memoryWriter) release() { c.total.Add(-c.written) }
