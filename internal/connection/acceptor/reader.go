package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"

	"oriolecourse.example/oriolecourse/internal/connection/scanner"
)

// readHead reads the head of a request. Empty lines before it are skipped (RFC 9112, 2.2).
func readHead(r *bufio.Reader, maxBytes int) ([]byte, error) {
	head, err := scanner.ReadHead(r, maxBytes)
	return bytes.TrimLeft(head, "\r\n"), err
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
	return scanner.NewChunkedReader(r)
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
