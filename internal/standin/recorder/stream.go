package recorder

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// dialTimeout bounds the connecting of a stream.
const dialTimeout = 2 * time.Second

// Stream sends the events of one target to a recorder.
type Stream struct {
	mu     sync.Mutex
	conn   net.Conn
	buffer *bufio.Writer
	chunks io.WriteCloser
}

// Open connects a stream. The request is written by hand because net/http
// returns from a write before the bytes are with the kernel, and a target that
// is killed in between would lose them.
func Open(address netip.AddrPort) (*Stream, error) {
	conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err != nil {
		return nil, trace.Wrap(err, "the recorder cannot be reached")
	}
	buffer := bufio.NewWriter(conn)
	head := "POST /events HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(buffer, head, address); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Stream{conn: conn, buffer: buffer, chunks: httputil.NewChunkedWriter(buffer)}, nil
}

// Send returns when the event is with the kernel.
func (s *Stream) Send(e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.chunks.Write(append(line, '\n')); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.buffer.Flush())
}

// Close ends the stream.
func (s *Stream) Close() error { return trace.Wrap(s.conn.Close()) }

// Register adds the recorder's routes: POST /events takes streams, GET /record
// gives all events as JSON lines, GET /counts the totals.
func (b *Record) Register(e *echo.Echo) {
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, b.Counts()) })
	e.POST("/events", b.receive)
	e.GET("/record", b.dump)
}

// receive reads the events of one target until its stream ends. A killed target
// ends it in the middle; the events before that point count.
func (b *Record) receive(c echo.Context) error {
	decoder := json.NewDecoder(c.Request().Body)
	for {
		var e Event
		if err := decoder.Decode(&e); err != nil {
			return c.NoContent(http.StatusNoContent)
		}
		b.Add(e)
	}
}

// dump writes the record.
func (b *Record) dump(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
	encoder := json.NewEncoder(c.Response())
	for _, e := range b.Events() {
		if err := encoder.Encode(e); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// ParseEvents decodes a record of JSON lines.
func ParseEvents(r io.Reader) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(r)
	for {
		var e Event
		err := decoder.Decode(&e)
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return nil, trace.Wrap(err, "the record is damaged")
		}
		events = append(events, e)
	}
}
