package exchanger

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// plainHead is the head of a response as the plain reader reads it.
type plainHead struct {
	status int
	fields map[string][]string
	// chunked means that the body comes in chunks. Otherwise it has length bytes, or, if that is
	// -1, ends with the connection.
	chunked bool
	length  int64
}

// More than one blank may separate the parts of a status line (RFC 9112, 4).
var (
	statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) +([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLine  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)$")
	allDigits  = regexp.MustCompile(`^[0-9]+$`)
)

// readPlainHead is a plain reader of the head of a response to GET, written from RFC 9112. It
// reports whether the head is valid.
func readPlainHead(text string) (h plainHead, ok bool) {
	h = plainHead{fields: map[string][]string{}, length: -1}
	end := "\r\n"
	if first, _, _ := strings.Cut(text, "\n"); !strings.HasSuffix(first, "\r") {
		end = "\n"
	}
	head, _, complete := strings.Cut(text, end+end)
	lines := strings.Split(head, end)
	status := statusLine.FindStringSubmatch(lines[0])
	if !complete || status == nil {
		return h, false
	}
	h.status, _ = strconv.Atoi(status[2])
	if h.status == http.StatusSwitchingProtocols {
		return h, false
	}
	for _, line := range lines[1:] {
		m := fieldLine.FindStringSubmatch(line)
		if m == nil {
			return h, false
		}
		name := textproto.CanonicalMIMEHeaderKey(m[1])
		h.fields[name] = append(h.fields[name], strings.Trim(m[2], " \t"))
	}
	// Equal lengths may be taken for one (6.3). A coding overrides a length.
	for _, l := range h.fields["Content-Length"] {
		n, err := strconv.ParseInt(l, 10, 64)
		if !allDigits.MatchString(l) || err != nil || h.length >= 0 && n != h.length {
			return h, false
		}
		h.length = n
	}
	if coding, given := h.fields["Transfer-Encoding"]; given {
		// Only one coding is known, and none in HTTP/1.0 (6.1).
		if status[1] == "0" || len(coding) != 1 || !strings.EqualFold(coding[0], "chunked") {
			return h, false
		}
		h.chunked, h.length = true, -1
	}
	if h.status < http.StatusOK || h.status == http.StatusNoContent || h.status == http.StatusNotModified {
		h.chunked, h.length = false, 0
	}
	return h, true
}

// Guards against a response whose head is read otherwise than RFC 9112 says: with another status
// or another end of its body than its target meant.
func FuzzResponseHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n",
		"HTTP/1.0 503 No\nContent-Length: 1\nContent-Length: 1\n\n",
		"HTTP/1.1 200\r\nTransfer-Encoding: gzip, chunked\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 304 x\r\nA : b\r\n\r\n", "HTTP/1.1 200 x\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 099 x\r\n\r\n",
		"HTTP/1.1 200 x\r\nContent-Length: +5\r\n\r\n", "HTTP/1.1 200 x\r\nContent-Length: 5, 5\r\n\r\n",
		"HTTP/1.1 200 x\r\nContent-Length: 9223372036854775808\r\n\r\n", "HTTP/1.1 200 x\r\nContent-Length: \r\n\r\n",
		"HTTP/1.1 200 x\r\nTransfer-Encoding: Chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "\r\nHTTP/1.1 200 x\r\n\r\n",
		"HTTP/1.0 100 \r\r\n\r\n", "HTTP/1.0  100\r\n\r\n", "HTTP/1.1 200 x\r\nA: b\rc\r\n\r\n", "HTTP/1.1 200 x\r\nA: b\x00c\r\n\r\n", "HTTP/1.1 200 x\r\nA: b\x01c\r\n\r\n",
		"HTTP/1.1 200 x\r\nTransfer-Encoding:\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 x\r\nTransfer-Encoding: identity\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &conn{reader: bufio.NewReader(bytes.NewReader(text))}
		parsed, err := c.readHead(http.MethodGet)
		want, ok := readPlainHead(string(text))
		require.Equal(t, ok, err == nil, "%q: %v", text, err)
		if !ok {
			return
		}
		require.Equal(t, want.status, parsed.StatusCode)
		_, length := c.newBody(parsed, http.MethodGet)
		require.Equal(t, want.length, length, "%q", text)
		require.Equal(t, want.chunked, hasBody(parsed, http.MethodGet) && len(parsed.TransferEncoding) > 0, "%q", text)
		for name, values := range want.fields {
			if name != "Transfer-Encoding" && name != "Content-Length" {
				require.Equal(t, values, parsed.Header[name], "%q", text)
			}
		}
	})
}
