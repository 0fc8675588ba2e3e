package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/reserver"
	"oriolecourse.example/oriolecourse/internal/connection/scanner"
)

// errBodyTooLarge is returned for a body that exceeds its limit.
var errBodyTooLarge = trace.LimitExceeded("the request body exceeds its size limit")

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
	if err := scanner.CheckFieldNames(head); err != nil {
		return nil, &requestError{http.StatusBadRequest, err}
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
	r.conn.extendReading(time.Now().Add(bodyTimeout))
	return r.body.Read(p)
}

// firstBufferBytes is the size of the first buffer for a body of unknown length. It counts
// as held until the response is written, however short the body is.
const firstBufferBytes = 512

// readReserved reads a body of at most maxBytes into memory that it takes from m. The
// length is -1 if it is unknown; memory for a known length is taken before anything is
// read. It returns the body and the bytes that it has taken, none if it fails.
func readReserved(body io.Reader, length, maxBytes int64, m *reserver.Reserver) (content []byte, size int64, err error) {
	if size = min(firstBufferBytes, maxBytes); length >= 0 {
		size = length
	}
	if !m.Take(size) {
		return nil, 0, errBodyMemory
	}
	content = make([]byte, 0, size)
	for err == nil {
		switch {
		case int64(len(content)) < size:
			var n int
			n, err = body.Read(content[len(content):size])
			content = content[:len(content)+n]
		case length >= 0:
			return content, size, nil
		case size == maxBytes:
			err = readEnd(body)
		case !m.Take(min(2*size, maxBytes)):
			err = errBodyMemory
		default:
			m.Release(size)
			size = min(2*size, maxBytes)
			content = append(make([]byte, 0, size), content...)
		}
	}
	switch {
	case err == io.EOF && (length < 0 || int64(len(content)) == length):
		return content, size, nil
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	m.Release(size)
	return nil, 0, err
}

// readEnd returns io.EOF if nothing follows in a body.
func readEnd(body io.Reader) error {
	var next [1]byte
	if _, err := io.ReadFull(body, next[:]); err != nil {
		return err
	}
	return errBodyTooLarge
}
