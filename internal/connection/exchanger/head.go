package exchanger

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"

	"oriolecourse.example/oriolecourse/internal/connection/scanner"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// readHead reads the head of one response.
func (c *conn) readHead(method string) (*http.Response, error) {
	head, err := scanner.ReadHead(c.reader, scanner.MaxResponseHeadBytes)
	if err != nil {
		return nil, trace.Wrap(err, "the head of the target's response is incomplete or too long")
	}
	if err := scanner.CheckLines(head); err != nil {
		return nil, trace.Wrap(err, "the target's response is not valid HTTP")
	}
	parsed, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), &http.Request{Method: method})
	if err != nil {
		return nil, trace.Wrap(err, "the target's response is not valid HTTP")
	}
	if !parsed.ProtoAtLeast(1, 1) && scanner.HasField(head, "Transfer-Encoding") {
		return nil, trace.BadParameter("the target's response has a Transfer-Encoding, which %s does not know", parsed.Proto)
	}
	return parsed, checkStatusLine(parsed)
}

// checkStatusLine returns an error for a response of another protocol version, with a status that
// is none, or with the data of another protocol behind it, which no request asks for.
func checkStatusLine(parsed *http.Response) error {
	switch status := parsed.StatusCode; {
	case parsed.ProtoMajor != 1:
		return trace.BadParameter("the target's response has the version %s, expected HTTP/1.0 or HTTP/1.1", parsed.Proto)
	case status < http.StatusContinue || status > sender.MaxStatus:
		return trace.BadParameter("the target's response has the status %q, expected 100 to %d", parsed.Status, sender.MaxStatus)
	case !httpguts.ValidHeaderFieldValue(parsed.Status):
		return trace.BadParameter("the status line of the target's response, %.100q, holds a control byte", parsed.Status)
	case status == http.StatusSwitchingProtocols:
		return trace.BadParameter("the target's response changes the protocol")
	}
	return nil
}
