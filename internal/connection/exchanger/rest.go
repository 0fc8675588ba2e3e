package exchanger

import (
	"io"
	"time"

	"github.com/gravitational/trace"
)

// rest is what follows the first part of a response body. The connection belongs to it
// until it is closed.
type rest struct {
	conn *conn
	body io.Reader
	// left is how many bytes may still be read.
	left int64
	// stop ends the watch on the request's context, and reports whether the context has not
	// ended.
	stop func() bool
	// reusable reports whether the connection can carry another request after the body.
	reusable func() bool
	// keepAlive is the Keep-Alive header of the response.
	keepAlive string
	// complete is set after the last byte of the body.
	complete bool
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.left -= int64(n)
	switch {
	case r.left < 0:
		return n, errTooLarge
	case err == io.EOF:
		r.complete = true
	case err != nil:
		err = trace.Wrap(err, "the body of the target's response is incomplete")
	}
	return n, err
}

// Close gives the connection back if the body is complete, and closes it otherwise.
func (r *rest) Close() error {
	c := r.conn
	if !r.stop() || !r.complete || !r.reusable() || c.reader.Buffered() > 0 {
		c.close()
		return nil
	}
	c.unused, c.reusable = false, true
	c.updateExpiry(r.keepAlive, time.Now())
	c.exchanger.pushIdle(c)
	return nil
}
