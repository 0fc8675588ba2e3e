package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// write sends the answers in the order of the requests. The writing goroutine
// ends when the queue is closed and empty.
func (c *conn) write(cancel context.CancelFunc) {
	broken := false
	for x := range c.queue {
		a := <-x.answer
		last := c.answered(x)
		if !broken {
			_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.socket.Write(encode(a, x.method, last)); err != nil {
				// The client has left: what it still waits for is canceled.
				broken = true
				cancel()
				c.socket.Close()
			}
		}
		c.acceptor.held.Add(-x.size)
		c.settle()
	}
}

// encode writes an answer with a length of its own.
func encode(a *Response, method string, last bool) []byte {
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	length := ""
	for name, values := range a.Header {
		if name == "Content-Length" {
			length = values[0]
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if bodyless := method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified; !bodyless {
		length = strconv.Itoa(len(a.Body))
	} else {
		a.Body = nil
	}
	if length != "" && a.Status != http.StatusNoContent {
		b.WriteString("Content-Length: " + length + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(a.Body)
	return b.Bytes()
}

// hopFields concern one connection only and are not passed on (RFC 9110, 7.6.1).
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the fields that concern one connection only.
func StripHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopFields {
		h.Del(name)
	}
}
