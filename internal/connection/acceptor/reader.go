package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/scanner"
)

// readHead reads the head of a request. Empty lines before it are skipped (RFC 9112, 2.2).
func readHead(r *bufio.Reader, maxBytes int) ([]byte, error) {
	head, err := scanner.ReadHead(r, maxBytes)
	return bytes.TrimLeft(head, "\r\n"), err
}

// parseHead parses a head. It refuses a request with both Content-Length and
// Transfer-Encoding, or with the latter in HTTP/1.0, because two HTTP parsers may disagree on
// where its body ends (request smuggling).
func parseHead(head []byte) (*http.Request, error) {
	h, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, err}
	}
	if err := scanner.CheckFieldNames(head); err != nil {
		return nil, &requestError{http.StatusBadRequest, err}
	}
	hasCoding := scanner.HasField(head, "Transfer-Encoding")
	if hasCoding && scanner.HasField(head, "Content-Length") {
		return nil, &requestError{http.StatusBadRequest, trace.BadParameter("the request has both Content-Length and Transfer-Encoding")}
	}
	if hasCoding && !h.ProtoAtLeast(1, 1) {
		return nil, &requestError{http.StatusBadRequest, trace.BadParameter("the request has a Transfer-Encoding, which %s does not know", h.Proto)}
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
	r.conn.extendReading(time.Now().Add(bodyTimeout))
	return r.body.Read(p)
}
