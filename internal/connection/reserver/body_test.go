package reserver

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBodiesOfUnknownLength guards against memory that is not taken, or not given back, for
// a chunked body at and beyond each limit.
func TestBodiesOfUnknownLength(t *testing.T) {
	for _, c := range []struct {
		size, length, maxBytes, smallBytes, memory int64
		err                                        error
	}{
		{100, -1, 100, 0, 1 << 20, nil},
		{101, -1, 100, 0, 1 << 20, ErrTooLarge},
		{9000, -1, 100_000, 0, 1 << 20, nil},
		{9000, -1, 100_000, 0, 9000, ErrFull},
		{9000, 9000, 9000, 0, 9000, nil},
		{9000, 9000, 9000, 0, 8999, ErrFull},
		{8999, 9000, 9000, 0, 9000, io.ErrUnexpectedEOF},
		{4096, -1, 8192, 0, 1 << 20, nil},
		{0, -1, 8192, 0, 1 << 20, nil},
		{9001, 9001, 9000, 0, 1 << 20, ErrTooLarge},
		{4096, -1, 8192, 8192, 0, nil},
		{4096, 4096, 8192, 4096, 0, nil},
		{4097, 4097, 8192, 4096, 0, ErrFull},
		{4097, -1, 8192, 4096, 0, ErrFull},
	} {
		m := New(c.memory, nil)
		text := strings.Repeat("x", int(c.size))
		body, taken, err := m.ReadBody(strings.NewReader(text), c.length, c.maxBytes, c.smallBytes)
		require.ErrorIs(t, err, c.err, "%+v", c)
		require.Equal(t, taken, m.Held(), "%+v", c)
		if c.err == nil {
			require.Equal(t, text, string(body))
			require.GreaterOrEqual(t, taken, c.size)
		}
	}
}
