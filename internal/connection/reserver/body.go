package reserver

import (
	"io"

	"github.com/gravitational/trace"
)

// firstBufferBytes is the size of the first buffer for a body of unknown length. It counts
// as held until the memory is released, however short the body is.
const firstBufferBytes = 512

// ErrFull is returned for a body for which no memory is left.
var ErrFull = trace.LimitExceeded("the bodies of requests and responses exceed the memory that is reserved for them")

// ErrTooLarge is returned for a body that exceeds its limit.
var ErrTooLarge = trace.LimitExceeded("the body exceeds its size limit")

// ReadBody reads a body of at most maxBytes into memory that it takes from the account. The
// length is -1 if it is unknown; memory for a known length is taken before anything is read.
// Up to smallBytes are taken beyond the account's limit too. It returns the body and the bytes
// that it has taken, none if it fails.
func (r *Reserver) ReadBody(body io.Reader, length, maxBytes, smallBytes int64) (content []byte, size int64, err error) {
	if length > maxBytes {
		return nil, 0, ErrTooLarge
	}
	if size = min(firstBufferBytes, maxBytes); length >= 0 {
		size = length
	}
	if !r.takeSmall(size, smallBytes) {
		return nil, 0, ErrFull
	}
	content = make([]byte, 0, size)
	for err == nil {
		switch {
		case int64(len(content)) < size:
			var n int
			n, err = body.Read(content[len(content):size])
			content = content[:len(content)+n]
		case length >= 0:
			return content, size, nil
		case size == maxBytes:
			err = readEnd(body)
		case !r.takeSmall(min(2*size, maxBytes), smallBytes):
			err = ErrFull
		default:
			r.Release(size)
			size = min(2*size, maxBytes)
			content = append(make([]byte, 0, size), content...)
		}
	}
	switch {
	case err == io.EOF && (length < 0 || int64(len(content)) == length):
		return content, size, nil
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	r.Release(size)
	return nil, 0, err
}

// takeSmall is Take for more than smallBytes, and Force otherwise.
func (r *Reserver) takeSmall(n, smallBytes int64) bool {
	if n > smallBytes {
		return r.Take(n)
	}
	r.Force(n)
	return true
}

// readEnd returns io.EOF if nothing follows in a body.
func readEnd(body io.Reader) error {
	var next [1]byte
	if _, err := io.ReadFull(body, next[:]); err != nil {
		return err
	}
	return ErrTooLarge
}
