package generator

import (
	"bytes"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Body returns the response body for a request: a line with the request id and the
// size, then size pattern bytes that depend on the id.
func Body(id string, size int) []byte {
	body := make([]byte, 0, len(id)+size+16)
	body = append(body, id...)
	body = append(body, ' ')
	body = strconv.AppendInt(body, int64(size), 10)
	body = append(body, '\n')
	state := seed(id)
	// A linear congruential generator with the constants of Numerical Recipes.
	for range size {
		state = state*1664525 + 1013904223
		body = append(body, 'a'+byte(state>>24)%26)
	}
	return body
}

// Check returns the request id in a body. It fails if the body is incomplete or
// mixes the bodies of several requests.
func Check(body []byte) (string, error) {
	head, _, found := bytes.Cut(body, []byte{'\n'})
	if !found {
		return "", trace.BadParameter("the body has no line end, expected a first line with id and size")
	}
	id, text, found := strings.Cut(string(head), " ")
	if !found {
		return "", trace.BadParameter("the first line of the body has no size after the request id")
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > len(body) {
		return id, trace.BadParameter("the body for %s is truncated or its first line has no valid size", id)
	}
	if !bytes.Equal(body, Body(id, size)) {
		return id, trace.BadParameter("the body for %s is truncated or mixed with another one", id)
	}
	return id, nil
}

// seed returns the first state of the pattern generator for a request id.
func seed(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
