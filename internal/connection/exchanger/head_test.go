package exchanger

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// requireNoAnswer checks that a response is not taken for an answer, read whole and streamed, for
// each kind of request, nor that to a probe, which has no identifier.
func requireNoAnswer(t *testing.T, response string) {
	t.Helper()
	for _, stream := range []bool{false, true} {
		q := newRequest("1", !stream)
		q.Stream = stream
		requireLost(t, q, response)
	}
	q := newRequest("", false)
	q.Header = nil
	requireLost(t, q, strings.ReplaceAll(response, "Id: 1\r\n", "Y: 1\r\n"))
}

// requireLost checks that a request gets no answer from a target that sends a response and keeps
// the connection open, and that it does not wait for more.
func requireLost(t *testing.T, q *Request, response string) {
	t.Helper()
	p := startTarget(t, func(c net.Conn, _ string, _ int) bool {
		_, _ = io.WriteString(c, response)
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, effect, err := New().Send(ctx, p.address, q)
	require.NoError(t, ctx.Err(), "waits for more than %q", response)
	require.Error(t, err, "%q", response)
	require.Equal(t, sender.Lost, effect, "%q", response)
}

// insertions returns a response with a byte at each position of the names of its fields.
func insertions(response string, b byte) []string {
	var all []string
	head, _, _ := strings.Cut(response, "\r\n\r\n")
	position := 0
	for k, line := range strings.SplitAfter(head, "\r\n") {
		if name, _, found := strings.Cut(line, ":"); found && k > 0 {
			for j := range len(name) + 1 {
				all = append(all, response[:position+j]+string(b)+response[position+j:])
			}
		}
		position += len(line)
	}
	return all
}

// Guards against an answer whose head holds a field that is passed on although it is none, or is
// not understood, so that the body is framed in another way: the name of a field holds a blank or
// a control byte.
func TestOddByteInAFieldNameIsNoAnswer(t *testing.T) {
	const id = "Id: 1\r\n"
	odd := []byte{' ', 0x7f}
	for b := range byte(' ') {
		odd = append(odd, b)
	}
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\nX: y\r\n\r\nhello",
		"chunks":  "HTTP/1.1 200 OK\r\n" + id + "X: y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"empty":   "HTTP/1.1 204 No Content\r\nX: y\r\n" + id + "\r\n",
		"failure": "HTTP/1.1 500 No\r\n" + id + "Content-Length: 2\r\n\r\nno",
		"refusal": "HTTP/1.1 503 No\r\nNot-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + completeResponse("1", "hello"),
		"skipped": "HTTP/1.1 200 OK\r\nId: other\r\nX: y\r\nContent-Length: 2\r\n\r\nno" + completeResponse("1", "hello"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, b := range odd {
				for _, broken := range insertions(response, b) {
					requireNoAnswer(t, broken)
				}
			}
		})
	}
}

// Guards against a field whose name begins with a blank and that is taken for a continuation of
// the field before it, and against a value with a byte that ends a line for some clients.
func TestOddLineInAHeadIsNoAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"blank first":         " Content-Length: 5\r\n",
		"tabulator first":     "\tContent-Length: 5\r\n",
		"continued":           "X: y\r\n z\r\n",
		"blank line":          " \r\n",
		"no name":             ": y\r\n",
		"no colon":            "X\r\n",
		"bare line feed":      "X: y\n",
		"carriage return":     "X: y\rSet-Cookie: z\r\n",
		"null":                "X: y\x00\r\n",
		"two line ends":       "X: y\r\r\n",
		"no ASCII":            "X\xe4: y\r\n",
		"two lengths":         "Content-Length: 6\r\n",
		"length with sign":    "Content-Length: +5\r\n",
		"unknown coding":      "Transfer-Encoding: gzip\r\n",
		"coding and unending": "Transfer-Encoding: chunked, gzip\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireNoAnswer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+line+"Content-Length: 5\r\n\r\nhello")
		})
	}
}

// Guards against a status that is none and is passed on, or taken for an interim response after
// which the caller waits for another one.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 001 No", "HTTP/1.1 099 No", "HTTP/1.1 600 No", "HTTP/1.1 999 No",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  OK", "HTTP/1.1",
		"HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "ICY 200 OK",
	} {
		for _, fields := range []string{"", "Not-Executed: 1\r\n"} {
			for _, body := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello", "\r\n"} {
				t.Run(fmt.Sprintf("%q, %q, %q", line, fields, body), func(t *testing.T) {
					t.Parallel()
					requireNoAnswer(t, line+"\r\nId: 1\r\n"+fields+body)
				})
			}
		}
	}
}
