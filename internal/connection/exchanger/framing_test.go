package exchanger

import "testing"

// Guards against the sizes of chunks that are passed on as a part of the body: HTTP/1.0 knows no
// chunks, so the framing of such a response is faulty (RFC 9112, 6.1).
func TestChunksOfAnOlderVersionAreNoBody(t *testing.T) {
	for _, fields := range []string{"", "Content-Length: 5\r\n", "Connection: close\r\n"} {
		requireNoAnswer(t, "HTTP/1.0 200 OK\r\nId: 1\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	}
}
