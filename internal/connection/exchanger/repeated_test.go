package exchanger

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// refusal returns a response that says that a request was not executed. The identifier is left
// out if it is empty.
func refusal(id string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 No\r\nNot-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
}

// Guards against callers that are told that their request has not run while it runs, or whose
// request runs at a second target: a faulty target writes an earlier refusal once more on a kept
// connection. The copy comes at any moment and names the refused request, none, or, as its
// caller has sent it again, the one that runs.
func TestAnEarlierRefusalOnceMore(t *testing.T) {
	moments := map[string]func(c net.Conn, copied, answer string){
		"with the request":    func(c net.Conn, copied, answer string) { write(c, copied+answer) },
		"before its answer":   func(c net.Conn, copied, answer string) { write(c, copied, answer) },
		"twice before it":     func(c net.Conn, copied, answer string) { write(c, copied, copied, answer) },
		"behind its answer":   func(c net.Conn, copied, answer string) { write(c, answer+copied) },
		"after its answer":    func(c net.Conn, copied, answer string) { write(c, answer, copied) },
		"in place of it":      func(c net.Conn, copied, _ string) { write(c, copied) },
		"around its answer":   func(c net.Conn, copied, answer string) { write(c, copied+answer+copied) },
		"in the middle of it": func(c net.Conn, copied, answer string) { write(c, copied[:9], copied[9:]+answer[:12], answer[12:]) },
	}
	for moment, answer := range moments {
		for _, named := range []string{"the refused request", "no request", "the same request"} {
			for _, nonIdempotent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, naming %s, once %t", moment, named, nonIdempotent), func(t *testing.T) {
					t.Parallel()
					var requests atomic.Int32
					p := startTarget(t, func(c net.Conn, id string, n int) bool {
						copied := map[string]string{"the refused request": refusal("first"), "no request": refusal(""), "the same request": refusal(id)}[named]
						switch {
						case requests.Add(1) == 1:
							write(c, refusal(id))
						case n == 0:
							// A new connection carries nothing of another one.
							write(c, completeResponse(id, "body "+id))
						default:
							answer(c, copied, completeResponse(id, "body "+id))
							return moment != "in place of it"
						}
						return true
					})
					x := New()
					_, effect, err := send(x, p, "first", nonIdempotent)
					require.NoError(t, err)
					require.Equal(t, sender.NotExecuted, effect)
					for k := range 3 {
						id := fmt.Sprint("next ", k)
						if named == "the same request" {
							id = "first"
						}
						response, effect, err := send(x, p, id, nonIdempotent)
						if err != nil {
							require.Equal(t, sender.Lost, effect, "nothing is known of it")
							continue
						}
						require.Equal(t, sender.Done, effect, "the request has run")
						require.Equal(t, "body "+id, string(response.Body))
					}
				})
			}
		}
	}
}

// write writes texts with a pause between them.
func write(c net.Conn, texts ...string) {
	for k, text := range texts {
		if k > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = io.WriteString(c, text)
	}
}

// Guards against a health response that a faulty target sends once more and that a caller gets
// as the success of its request: health responses name no request.
func TestHealthResponseOnceMoreIsNoAnswer(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		const health = "HTTP/1.1 200 OK\r\nInstance-Id: i\r\nContent-Length: 0\r\n\r\n"
		p := startTarget(t, func(c net.Conn, id string, _ int) bool {
			if id == "" {
				write(c, health)
				return true
			}
			write(c, health, completeResponse(id, "body "+id))
			return true
		})
		x := New()
		for k := range 3 {
			_, _, err := send(x, p, "", false)
			require.NoError(t, err)
			response, effect, err := send(x, p, fmt.Sprint(k), nonIdempotent)
			require.NoError(t, err)
			require.Equal(t, sender.Done, effect)
			require.Equal(t, fmt.Sprint("body ", k), string(response.Body))
		}
	}
}

// Guards against targets that lose their connections without need: refusals by themselves keep
// them, and so does each request that is not sent again.
func TestRefusalsKeepTheConnection(t *testing.T) {
	p := startTarget(t, func(c net.Conn, id string, _ int) bool {
		write(c, refusal(id))
		return true
	})
	x := New()
	for k := range 200 {
		_, effect, err := send(x, p, fmt.Sprint(k), true)
		require.NoError(t, err)
		require.Equal(t, sender.NotExecuted, effect)
	}
	require.EqualValues(t, 1, p.opened.Load())
}

// Guards against callers that get the response of a server that is no target, or wait for another
// one until their deadline: targets repeat the identifier of a request. On a new connection a
// response without it can only be that to this request; if it says so, the request has not run.
func TestResponseWithoutIdentifierIsNoAnswer(t *testing.T) {
	for _, status := range []int{200, 302, 404, 500, 503} {
		for _, nonIdempotent := range []bool{false, true} {
			p := startTarget(t, func(c net.Conn, _ string, _ int) bool {
				write(c, fmt.Sprintf("HTTP/1.1 %d Foreign\r\nContent-Length: 5\r\n\r\nother", status))
				return true
			})
			began := time.Now()
			_, effect, err := send(New(), p, "1", nonIdempotent)
			require.Error(t, err, status)
			require.Equal(t, sender.Lost, effect, status)
			require.Less(t, time.Since(began), time.Second, "waits for another response")
		}
	}
	p := startTarget(t, func(c net.Conn, _ string, _ int) bool {
		write(c, refusal(""))
		return true
	})
	_, effect, err := send(New(), p, "1", true)
	require.NoError(t, err)
	require.Equal(t, sender.NotExecuted, effect)
}
