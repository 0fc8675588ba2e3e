package scanner

import (
	"bufio"
	"bytes"
	"io"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// chunkLine is the line before the data of a chunk, whose extensions are ignored.
var chunkLine = regexp.MustCompile(`^([0-9A-Fa-f]+)[ \t]*(?:;.*)?$`)

// readPlainChunks is a plain reader of a chunked body, written from RFC 9112, 7.1. It returns the
// content and what follows the body, or reports that the body is not valid.
func readPlainChunks(text []byte) (content, rest []byte, ok bool) {
	// takeLine takes a line that ends with CRLF, or with LF only (2.2).
	takeLine := func() ([]byte, bool) {
		line, after, found := bytes.Cut(text, []byte("\n"))
		text = after
		return bytes.TrimSuffix(line, []byte("\r")), found
	}
	for {
		line, found := takeLine()
		m := chunkLine.FindSubmatch(line)
		if !found || m == nil {
			return nil, nil, false
		}
		size, err := strconv.ParseUint(string(m[1]), 16, 64)
		if err != nil || size > uint64(len(text)) {
			return nil, nil, false
		}
		if size == 0 {
			break
		}
		content, text = append(content, text[:size]...), text[size:]
		if end, found := takeLine(); !found || len(end) > 0 {
			return nil, nil, false
		}
	}
	for {
		line, found := takeLine()
		if !found {
			return nil, nil, false
		}
		if len(line) == 0 {
			return content, text, true
		}
	}
}

// Guards against a chunked body whose content or whose end is read otherwise than RFC 9112 says,
// so that its rest is taken for another message.
func FuzzChunks(f *testing.F) {
	for _, text := range []string{
		"5\r\nhello\r\n0\r\n\r\nGET", "5;a=b\r\nhello\r\n0\r\nA: b\r\n\r\n", "5\nhello\n0\n\nx", "005 \r\nhello\r\n00\r\n\r\n",
		"5\r\nhello0\r\n\r\n", "-1\r\n\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "10000000000000005\r\nhello\r\n0\r\n\r\n", "\r\n0\r\n\r\n",
		" 5\r\nhello\r\n0\r\n\r\n", "5\r\nhelloxx0\r\n\r\n", "0\r\n\r\r\n\r\n", "0\r\n\r\nrest", "5\r\r\nhello\r\n0\r\n\r\n", "1;\ra\r\na\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReader(bytes.NewReader(text))
		got, err := io.ReadAll(NewChunkedReader(r))
		if err != nil {
			// What the reader refuses beyond the RFC costs only the message itself.
			return
		}
		left, err := io.ReadAll(r)
		require.NoError(t, err)
		content, rest, ok := readPlainChunks(text)
		require.True(t, ok, "%q", text)
		require.Equal(t, string(content), string(got), "%q", text)
		require.Equal(t, string(rest), string(left), "%q", text)
	})
}
