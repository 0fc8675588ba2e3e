package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// startUploadTarget starts a target that reads the head and readBytes of the body of each
// request, calls script and closes the connection.
func startUploadTarget(t *testing.T, readBytes int64, script func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
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
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, r, readBytes)
				script(c.(*net.TCPConn))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// upload sends a request with a body of a size and reads the whole response.
func upload(t *testing.T, target netip.AddrPort, size int, stream bool) (*sender.Response, error) {
	t.Helper()
	q := newRequest("1", true)
	q.Method, q.Body, q.Stream = http.MethodPost, []byte(strings.Repeat("x", size)), stream
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, effect, err := New().Send(ctx, target, q)
	if err != nil {
		require.Equal(t, sender.Lost, effect)
		return nil, err
	}
	if response.Rest != nil {
		rest, err := io.ReadAll(response.Rest)
		require.NoError(t, response.Rest.Close())
		if err != nil {
			return nil, err
		}
		response.Body = append(response.Body, rest...)
	}
	return response, nil
}

const unframedHead = "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\nId: 1\r\n\r\n"

// Guards against the part of a response without a length that passes for a complete one: the
// target resets the connection while the upload is still being written, and the kernel reports
// the reset to the writer only.
func TestResetBesideAnUploadIsNotTheEndOfTheBody(t *testing.T) {
	const times = 12
	for _, uploaded := range []int{0, 1 << 10, 15 << 10, 100 << 10, 1 << 20, 8 << 20} {
		for _, answered := range []int{0, 3, 20 << 10, firstPartBytes + 1000} {
			for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
				for _, readBytes := range []int64{0, 50 << 10} {
					t.Run(fmt.Sprintf("upload %d, response %d, reset after %s, read %d", uploaded, answered, pause, readBytes), func(t *testing.T) {
						t.Parallel()
						target := startUploadTarget(t, min(readBytes, int64(uploaded)), func(c *net.TCPConn) {
							_, _ = io.WriteString(c, unframedHead+strings.Repeat("y", answered))
							time.Sleep(pause)
							_ = c.SetLinger(0)
						})
						for _, stream := range []bool{false, true} {
							for range times {
								_, err := upload(t, target, uploaded, stream)
								require.Error(t, err, "stream %t", stream)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against the same in responses that are read in other ways: behind an interim one or one
// to another request, as a failure, and as a refusal, after which the request would run again.
func TestResetBesideAnUploadEndsNoOtherResponse(t *testing.T) {
	const times = 12
	for name, head := range map[string]string{
		"interim": "HTTP/1.1 100 Continue\r\n\r\n" + unframedHead,
		"skipped": completeResponse("other", "wrong") + unframedHead,
		"failure": strings.Replace(unframedHead, "200 OK", "500 No", 1),
		"refusal": strings.Replace(unframedHead, "200 OK\r\n", "503 No\r\nNot-Executed: 1\r\n", 1),
		"old":     strings.Replace(unframedHead, "HTTP/1.1", "HTTP/1.0", 1),
	} {
		for _, uploaded := range []int{1 << 20, 8 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, upload %d, reset after %s", name, uploaded, pause), func(t *testing.T) {
					t.Parallel()
					target := startUploadTarget(t, 0, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, head+"part")
						time.Sleep(pause)
						_ = c.SetLinger(0)
					})
					for _, stream := range []bool{false, true} {
						for range times {
							_, err := upload(t, target, uploaded, stream)
							require.Error(t, err, "stream %t", stream)
						}
					}
				})
			}
		}
	}
}

// awaitDelivery waits until the peer has received all that was written, and the end of it.
func awaitDelivery(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	for queued := 1; err == nil && queued > 0; time.Sleep(time.Millisecond) {
		var queueErr error
		err = raw.Control(func(fd uintptr) { queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		err = errors.Join(err, queueErr)
	}
}

// Guards against a sound response without a length that is refused because it comes before the
// upload is read: the target ends it in order, and reads on, waits, or closes the connection,
// which resets it when more of the upload arrives.
func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	const times = 12
	endings := map[string]func(c *net.TCPConn){
		"reads on": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"waits":    func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) },
		"resets":   func(c *net.TCPConn) { _ = c.SetLinger(0) },
	}
	for _, uploaded := range []int{0, 15 << 10, 100 << 10, 1 << 20, 8 << 20} {
		for _, answered := range []int{0, 3, firstPartBytes + 1000} {
			for ending, end := range endings {
				t.Run(fmt.Sprintf("upload %d, response %d, %s", uploaded, answered, ending), func(t *testing.T) {
					t.Parallel()
					target := startUploadTarget(t, 0, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, unframedHead+strings.Repeat("y", answered))
						_ = c.CloseWrite()
						// A reset discards what has not been delivered.
						awaitDelivery(c)
						end(c)
					})
					for _, stream := range []bool{false, true} {
						for range times {
							response, err := upload(t, target, uploaded, stream)
							require.NoError(t, err, "stream %t", stream)
							require.Len(t, response.Body, answered)
						}
					}
				})
			}
		}
	}
}
