package scanner

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/gravitational/trace"
)

// maxTrailerBytes bounds the trailer of a chunked body. Trailers are not passed on.
const maxTrailerBytes = 4 << 10

// ErrTooLong is returned for a head or trailer that exceeds its limit.
var ErrTooLong = trace.LimitExceeded("the header or trailer exceeds its size limit")

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
		// A line of bare CRs is not empty: other readers go on behind it.
		if string(line) == "\n" || string(line) == "\r\n" {
			return 0, io.EOF
		}
		remaining -= len(line)
	}
	return 0, ErrTooLong
}
