package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireLost checks that a response is not taken for an answer.
func requireLost(t *testing.T, response string) {
	t.Helper()
	s := &Sender{DialTimeout: time.Second}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, effect, err := s.Send(ctx, serveText(t, response), Request{Method: http.MethodPost, Path: "/x", Body: []byte("b"), MaxResponseBytes: 100})
	require.Error(t, err, "%q", response)
	require.Equal(t, Lost, effect, "%q", response)
	require.NoError(t, ctx.Err(), "waits for more than %q", response)
}

// Guards against an answer whose head holds a field that is passed on although it is none, or is
// not understood: the name of a field holds a blank or a control byte.
func TestOddByteInAFieldNameIsNoAnswer(t *testing.T) {
	odd := []byte{' ', 0x7f}
	for b := range byte(' ') {
		odd = append(odd, b)
	}
	for name, c := range map[string]struct{ before, field, after string }{
		"length":  {"HTTP/1.1 200 OK\r\nX: y\r\n", "Content-Length: 5", "\r\n\r\nhello"},
		"coding":  {"HTTP/1.1 200 OK\r\nX: y\r\n", "Transfer-Encoding: chunked", "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		"state":   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n", "Target-State: shed", "\r\n\r\n"},
		"other":   {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "Other: y", "\r\n\r\nhello"},
		"no body": {"HTTP/1.1 204 No Content\r\nX: y\r\n", "Other: y", "\r\n\r\n"},
		"interim": {"HTTP/1.1 103 Early Hints\r\nX: y\r\n", "Other: y", "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			field, _, _ := strings.Cut(c.field, ":")
			for _, b := range odd {
				for k := range len(field) + 1 {
					requireLost(t, c.before+c.field[:k]+string(b)+c.field[k:]+c.after)
				}
			}
		})
	}
}

// Guards against a status that is none and is passed on as an answer.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "000 ", "001 No", "099 No", "600 No", "999 No", "+20 OK", "-00 OK", "20 OK", "2000 OK", "101 Switching Protocols"} {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello", "\r\n"} {
			requireLost(t, "HTTP/1.1 "+status+"\r\n"+rest)
		}
	}
}

// Guards against the part of a response that passes for a complete one: the target resets the
// connection while a long request is being written.
func TestResetBesideAnUploadIsLost(t *testing.T) {
	const times = 10
	framings := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n%s",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n%s",
		"none":   "HTTP/1.1 200 OK\r\n\r\n%s",
	}
	for framing, text := range framings {
		for _, uploaded := range []int{0, 100 << 10, 1 << 20, 8 << 20} {
			for _, answered := range []int{0, 3, 20 << 10} {
				t.Run(fmt.Sprintf("%s, upload %d, response %d", framing, uploaded, answered), func(t *testing.T) {
					t.Parallel()
					target := serveReset(t, fmt.Sprintf(text, strings.Repeat("y", answered)))
					for range times {
						s := &Sender{DialTimeout: time.Second}
						_, effect, err := s.Send(t.Context(), target, Request{
							Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("x", uploaded)), MaxResponseBytes: 1 << 20,
						})
						require.Error(t, err)
						require.Equal(t, Lost, effect)
					}
				})
			}
		}
	}
}

// serveReset answers the head of each request with the text and resets the connection.
func serveReset(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, text)
				time.Sleep(time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}
