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

// errLongHead is the cause of a refused head that exceeds its limit.
var errLongHead = trace.LimitExceeded("the header is longer than allowed")

// readHead reads a request up to the empty line that ends its header.
func readHead(r *bufio.Reader, most int) ([]byte, error) {
	var head []byte
	begin := 0
	for {
		part, err := r.ReadSlice('\n')
		if head = append(head, part...); len(head) > most {
			return nil, errLongHead
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		line := bytes.TrimRight(head[begin:], "\r\n")
		begin = len(head)
		if len(line) > 0 {
			continue
		}
		if len(bytes.TrimSpace(head)) > 0 {
			return head, nil
		}
		// Empty lines before a request are skipped (RFC 9112, 2.2).
		head, begin = head[:0], 0
	}
}

// parseHead parses a head. One that tells the length of its body in two ways is
// refused: its reader and its writer may see another request in it.
func parseHead(head []byte) (*http.Request, error) {
	h, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, err}
	}
	for line := range bytes.Lines(head[bytes.IndexByte(head, '\n')+1:]) {
		name, _, found := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if found && !httpguts.ValidHeaderFieldName(string(name)) {
			return nil, &refusal{http.StatusBadRequest, trace.BadParameter("the field name %q is not valid", name)}
		}
	}
	lower := bytes.ToLower(head)
	if bytes.Contains(lower, []byte("\ncontent-length:")) && bytes.Contains(lower, []byte("\ntransfer-encoding:")) {
		return nil, &refusal{http.StatusBadRequest, trace.BadParameter("a body with a length and in chunks")}
	}
	if h.ProtoMajor != 1 {
		return nil, &refusal{http.StatusHTTPVersionNotSupported, trace.BadParameter("the protocol %s is not spoken", h.Proto)}
	}
	return h, nil
}

// bodyReader returns the body of a request whose head was read from a reader.
func bodyReader(r *bufio.Reader, h *http.Request) io.Reader {
	if len(h.TransferEncoding) == 0 {
		return io.LimitReader(r, h.ContentLength)
	}
	return io.MultiReader(httputil.NewChunkedReader(r), &trailer{r})
}

// mostTrailer bounds the trailer of a body in bytes; trailers are not passed on.
const mostTrailer = 4 << 10

// trailer reads what follows the last chunk, and yields nothing.
type trailer struct{ reader *bufio.Reader }

// Read implements io.Reader.
func (t *trailer) Read([]byte) (int, error) {
	for left := mostTrailer; left > 0; {
		line, err := t.reader.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return 0, io.EOF
		}
		left -= len(line)
	}
	return 0, errLongHead
}

// patient gives each read of a body a deadline of its own.
type patient struct {
	conn *conn
	body io.Reader
}

// Read implements io.Reader.
func (r *patient) Read(p []byte) (int, error) {
	_ = r.conn.socket.SetReadDeadline(time.Now().Add(bodyTimeout))
	return r.body.Read(p)
}

// charged counts the bytes written to it against the memory of the process.
type charged struct {
	held *atomic.Int64
	most int64
	mine int64
}

// Write implements io.Writer; it fails when the memory is used up.
func (c *charged) Write(p []byte) (int, error) {
	c.mine += int64(len(p))
	if c.held.Add(int64(len(p))) > c.most {
		return 0, errMemory
	}
	return len(p), nil
}

// back gives the bytes back.
func (c *charged) back() { c.held.Add(-c.mine) }
