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

// writeResponses writes the responses in the order of the requests. It returns when
// the queue is closed and empty.
func (c *conn) writeResponses(cancel context.CancelFunc) {
	writeFailed := false
	for x := range c.queue {
		response := <-x.response
		last := c.isLastResponse(x)
		if !writeFailed {
			_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.socket.Write(encode(response, x.method, last)); err != nil {
				// The client cannot be reached: cancel its other pending requests.
				writeFailed = true
				cancel()
				c.socket.Close()
			}
		}
		c.acceptor.bodyBytes.Add(-x.bodyBytes)
		c.finishRequest()
	}
}

// encode returns a response as HTTP/1.1. It computes the Content-Length from the
// body. A response to HEAD and a 304 response have no body and keep the
// Content-Length of their header; a 204 response has none.
func encode(response *Response, method string, last bool) []byte {
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", response.Status, http.StatusText(response.Status))
	length := ""
	for name, values := range response.Header {
		if name == "Content-Length" {
			length = values[0]
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if noBody := method == http.MethodHead || response.Status == http.StatusNoContent || response.Status == http.StatusNotModified; !noBody {
		length = strconv.Itoa(len(response.Body))
	} else {
		response.Body = nil
	}
	if length != "" && response.Status != http.StatusNoContent {
		b.WriteString("Content-Length: " + length + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(response.Body)
	return b.Bytes()
}

// hopByHopFields are the header fields that concern only one connection. They are
// not passed on (RFC 9110, 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop fields: hopByHopFields and the fields that
// the Connection header names.
func StripHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}
