package acceptor

import (
	"bufio"
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	requestLine = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^\x00-\x20\x7f]+) HTTP/1\\.([0-9])$")
	fieldLine   = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)$")
	emptyLine   = regexp.MustCompile("\r?\n\r?\n")
	foldedLine  = regexp.MustCompile("[ \t]*\r?\n[ \t]+")
	allDigits   = regexp.MustCompile(`^[0-9]+$`)
)

// plainRequest is the head of a request as the plain reader reads it.
type plainRequest struct {
	method string
	// chunked means that the body comes in chunks; otherwise it has length bytes.
	chunked bool
	length  int64
}

// readPlainRequest is a plain reader of the head of a request, written from RFC 9112. It reports
// whether the head is valid.
func readPlainRequest(text string) (q plainRequest, ok bool) {
	text = strings.TrimLeft(text, "\r\n")
	// A line may end with LF only (2.2), and a continued one be taken for a blank (5.2).
	end := emptyLine.FindStringIndex(text)
	if end == nil {
		return q, false
	}
	head := foldedLine.ReplaceAllString(text[:end[0]], " ")
	lines := strings.Split(strings.ReplaceAll(head, "\r\n", "\n"), "\n")
	first, fields := requestLine.FindStringSubmatch(lines[0]), map[string][]string{}
	if first == nil {
		return q, false
	}
	q.method = first[1]
	for _, line := range lines[1:] {
		m := fieldLine.FindStringSubmatch(line)
		if m == nil {
			return q, false
		}
		name := strings.ToLower(m[1])
		fields[name] = append(fields[name], strings.Trim(m[2], " \t"))
	}
	isOld := first[3] == "0"
	// Without a host no route matches, so it is answered with 404 in place of 400.
	if len(fields["host"]) > 1 {
		return q, false
	}
	codings, lengths := fields["transfer-encoding"], fields["content-length"]
	if len(codings) > 0 {
		q.chunked = true
		return q, !isOld && len(lengths) == 0 && len(codings) == 1 && strings.EqualFold(codings[0], "chunked")
	}
	for k, l := range lengths {
		n, err := strconv.ParseInt(l, 10, 64)
		if !allDigits.MatchString(l) || err != nil || k > 0 && n != q.length {
			return q, false
		}
		q.length = n
	}
	return q, true
}

// Guards against a request whose head is read otherwise than RFC 9112 says, so that another reader
// finds another end of its body, or another request behind it.
func FuzzRequestHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\nGET /a?b HTTP/1.0\n\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5, 5\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n\r\n",
		"GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		head, err := readHead(bufio.NewReader(bytes.NewReader(text)), 1<<16)
		if err != nil {
			return
		}
		parsed, err := parseHead(head)
		want, ok := readPlainRequest(string(text))
		if err != nil {
			// What the reader refuses beyond the RFC costs only the request itself.
			return
		}
		require.True(t, ok, "%q", text)
		require.Equal(t, want.method, parsed.Method, "%q", text)
		require.Equal(t, want.chunked, len(parsed.TransferEncoding) > 0, "%q", text)
		if !want.chunked {
			require.Equal(t, want.length, parsed.ContentLength, "%q", text)
		}
	})
}
