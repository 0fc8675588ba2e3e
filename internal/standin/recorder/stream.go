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

// dialTimeout bounds the connection setup of a stream.
const dialTimeout = 2 * time.Second

// Stream sends the events of one target to a recorder.
type Stream struct {
	mu     sync.Mutex
	conn   net.Conn
	buffer *bufio.Writer
	chunks io.WriteCloser
}

// Open connects a stream to the recorder. It writes the HTTP request itself:
// net/http returns from a write before the kernel has the bytes, and a target that
// is killed in between would lose them.
func Open(address netip.AddrPort) (*Stream, error) {
	conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err != nil {
		return nil, trace.Wrap(err, "cannot connect to the recorder")
	}
	buffer := bufio.NewWriter(conn)
	header := "POST /events HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(buffer, header, address); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Stream{conn: conn, buffer: buffer, chunks: httputil.NewChunkedWriter(buffer)}, nil
}

// Send writes an event and returns when the kernel has its bytes.
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

// Close closes the connection of the stream.
func (s *Stream) Close() error { return trace.Wrap(s.conn.Close()) }

// Register adds the routes of the recorder: POST /events receives streams, GET
// /record returns all events as JSON lines, GET /counts returns the totals.
func (r *Record) Register(e *echo.Echo) {
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, r.Counts()) })
	e.POST("/events", r.receive)
	e.GET("/record", r.dump)
}

// receive adds the events of one target until its stream ends. The stream of a
// killed target ends in the middle; the events before that point are kept.
func (r *Record) receive(c echo.Context) error {
	decoder := json.NewDecoder(c.Request().Body)
	for {
		var e Event
		if err := decoder.Decode(&e); err != nil {
			return c.NoContent(http.StatusNoContent)
		}
		r.Add(e)
	}
}

// dump writes all events as JSON lines.
func (r *Record) dump(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
	encoder := json.NewEncoder(c.Response())
	for _, e := range r.Events() {
		if err := encoder.Encode(e); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// ParseEvents parses events from JSON lines.
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
			return nil, trace.Wrap(err, "cannot parse the record as JSON lines")
		}
		events = append(events, e)
	}
}
