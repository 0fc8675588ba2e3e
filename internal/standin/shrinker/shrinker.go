package shrinker

import (
	"errors"
	"syscall"
)

// receiveBufferBytes is far less than a large request or response.
const receiveBufferBytes = 4 << 10

// ShrinkReceiveBuffer gives a new socket a small receive buffer. It is the Control function of a
// net.Dialer or a net.ListenConfig, whose connections inherit the buffer.
func ShrinkReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, failure)
}
