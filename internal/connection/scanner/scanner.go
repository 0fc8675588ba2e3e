package scanner

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// maxTrailerBytes bounds the trailer of a chunked body. Trailers are not passed on.
const maxTrailerBytes = 4 << 10

// ErrTooLong is returned for a head or trailer that exceeds its limit.
var ErrTooLong = trace.LimitExceeded("the header or trailer exceeds its size limit")

// ReadHead reads the head of a message: the start line and the header, up to the empty
// line. The result includes the empty lines before the start line, which count toward
// maxBytes.
func ReadHead(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var head []byte
	lineStart, started := 0, false
	for {
		part, err := r.ReadSlice('\n')
		if head = append(head, part...); len(head) > maxBytes {
			return nil, ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		isEmpty := len(bytes.TrimRight(head[lineStart:], "\r\n")) == 0
		if isEmpty && started {
			return head, nil
		}
		lineStart, started = len(head), started || !isEmpty
	}
}

// maxQuotedBytes bounds what an error repeats of a message.
const maxQuotedBytes = 64

// CheckFieldNames returns an error if a line of a head names a field by anything but a token.
// Parsers differ in what they take such a line for, and with it in where the body ends.
func CheckFieldNames(head []byte) error {
	for line := range bytes.Lines(head[bytes.IndexByte(head, '\n')+1:]) {
		name, _, found := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if found && !httpguts.ValidHeaderFieldName(string(name)) {
			return trace.BadParameter("the header field name %.*q is not valid", maxQuotedBytes, name)
		}
	}
	return nil
}

// NewChunkedReader returns a reader of the chunked body that follows a head in r. It
// reads up to the end of the trailer. Chunk lines and the trailer are bounded.
func NewChunkedReader(r *bufio.Reader) io.Reader {
	return io.MultiReader(httputil.NewChunkedReader(r), &trailerReader{r})
}

// trailerReader reads and discards the trailer after the last chunk.
type trailerReader struct{ reader *bufio.Reader }

// Read implements io.Reader.
func (t *trailerReader) Read([]byte) (int, error) {
	for remaining := maxTrailerBytes; remaining > 0; {
		line, err := t.reader.ReadSlice('\n')
		if err == io.EOF {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return 0, io.EOF
		}
		remaining -= len(line)
	}
	return 0, ErrTooLong
}
