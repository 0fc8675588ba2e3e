package watcher

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a document that is not the one that the platform holds: the head of its
// response cannot be understood, its status is none, or it is cut off.
func TestBrokenResponsesAreNoDocument(t *testing.T) {
	const ok, document = "HTTP/1.1 200 OK\r\n", "version: 2\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(document))
	for name, text := range map[string]string{
		"blank in a name":     ok + "X y: z\r\n" + length + "\r\n" + document,
		"blank behind a name": ok + "X : z\r\n" + length + "\r\n" + document,
		"blank before a name": ok + "X: y\r\n " + length + "\r\n" + document,
		"line feed in a name": ok + "X: y\r\n\nversion: 2\r\n\r\n",
		"null in a name":      ok + "X\x00: z\r\n" + length + "\r\n" + document,
		"status 000":          "HTTP/1.1 000 No\r\n" + length + "\r\n" + document,
		"status 600":          "HTTP/1.1 600 No\r\n" + length + "\r\n" + document,
		"cut off":             ok + "Content-Length: 30\r\n\r\n" + document,
		"cut off in a chunk":  ok + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + document,
		"reset":               ok + "\r\n" + document,
	} {
		t.Run(name, func(t *testing.T) {
			p := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = buffered.WriteString(text)
				_ = buffered.Flush()
				if name == "reset" {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
			}))
			defer p.Close()
			w := newTestWatcher(t, p.URL)
			eventually(t, "a call that failed", func() bool { return w.responseCount("failed") > 0 })
			require.Zero(t, w.Stamp(Settings).Version)
			require.Zero(t, w.responseCount("news")+w.responseCount("refused"))
		})
	}
}
