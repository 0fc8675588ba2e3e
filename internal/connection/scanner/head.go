package scanner

import (
	"bufio"
	"bytes"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// MaxResponseHeadBytes bounds the head of a response. It is several times what common servers
// and proxies allow for a header.
const MaxResponseHeadBytes = 64 << 10

// Head collects the head of a message: the start line and the header, up to the empty line.
// It includes the empty lines before the start line.
type Head struct {
	// MaxBytes bounds the head.
	MaxBytes int

	text      []byte
	lineStart int
	started   bool
}

// Add appends the beginning of a part of the message, up to the end of a line. It returns
// the number of bytes that it has taken and whether the head is complete.
func (h *Head) Add(part []byte) (taken int, complete bool, err error) {
	end := bytes.IndexByte(part, '\n')
	if taken = end + 1; end < 0 {
		taken = len(part)
	}
	if h.text = append(h.text, part[:taken]...); len(h.text) > h.MaxBytes {
		return taken, false, ErrTooLong
	}
	if end < 0 {
		return taken, false, nil
	}
	isEmpty := len(bytes.TrimRight(h.text[h.lineStart:], "\r\n")) == 0
	complete = isEmpty && h.started
	h.lineStart, h.started = len(h.text), h.started || !isEmpty
	return taken, complete, nil
}

// Bytes returns what has been collected.
func (h *Head) Bytes() []byte { return h.text }

// ReadHead reads the head of a message of at most maxBytes.
func ReadHead(r *bufio.Reader, maxBytes int) ([]byte, error) {
	h := Head{MaxBytes: maxBytes}
	for {
		part, err := r.ReadSlice('\n')
		_, complete, headErr := h.Add(part)
		switch {
		case headErr != nil:
			return nil, headErr
		case err != nil && err != bufio.ErrBufferFull:
			return nil, err
		case complete:
			return h.Bytes(), nil
		}
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

// HasField reports whether a line of a head names a field, in any case. The names of the head's
// fields are tokens.
func HasField(head []byte, name string) bool {
	for line := range bytes.Lines(head[bytes.IndexByte(head, '\n')+1:]) {
		if found, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(found, []byte(name)) {
			return true
		}
	}
	return false
}

// CheckLines returns an error for a head that CheckFieldNames rejects, or with a line that ends
// unlike the first one or continues the line before it (RFC 9112, 2.2 and 5.2). Such lines
// cannot be told from a field whose name begins with a line feed or a blank.
func CheckLines(head []byte) error {
	first, fields, _ := bytes.Cut(head, []byte("\n"))
	hasCarriageReturn := bytes.HasSuffix(first, []byte("\r"))
	for line := range bytes.Lines(fields) {
		switch {
		case bytes.HasSuffix(line, []byte("\r\n")) != hasCarriageReturn:
			return trace.BadParameter("the lines of the head end differently")
		case line[0] == ' ' || line[0] == '\t':
			return trace.BadParameter("the head has a continued line")
		}
	}
	return CheckFieldNames(head)
}
