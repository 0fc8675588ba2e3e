package generator

import (
	"bytes"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Body returns the answer to a request: a line with its id and the number of
// pattern bytes, then as many bytes that depend on the id.
func Body(id string, size int) []byte {
	body := make([]byte, 0, len(id)+size+16)
	body = append(body, id...)
	body = append(body, ' ')
	body = strconv.AppendInt(body, int64(size), 10)
	body = append(body, '\n')
	state := seed(id)
	for range size {
		state = state*1664525 + 1013904223
		body = append(body, 'a'+byte(state>>24)%26)
	}
	return body
}

// Check returns the id that a body answers. It fails when the body is not whole
// or mixes the answers of several requests.
func Check(body []byte) (string, error) {
	head, _, found := bytes.Cut(body, []byte{'\n'})
	if !found {
		return "", trace.BadParameter("the answer has no first line")
	}
	id, text, found := strings.Cut(string(head), " ")
	if !found {
		return "", trace.BadParameter("the answer's first line has no size")
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > len(body) {
		return id, trace.BadParameter("the answer to %s is cut short", id)
	}
	if !bytes.Equal(body, Body(id, size)) {
		return id, trace.BadParameter("the answer to %s is cut short or mixed", id)
	}
	return id, nil
}

// seed derives the first state of the pattern from the id.
func seed(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
