package watcher

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Kind is a kind of document that the platform publishes.
type Kind uint8

// The kinds.
const (
	Settings Kind = iota
	List
)

var paths = [...]string{"settings", "list"}

// String names the kind as the platform's path does.
func (k Kind) String() string {
	if int(k) >= len(paths) {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return paths[k]
}

// query is the path and query of a call for documents newer than after.
func (k Kind) query(after uint64, wait time.Duration) string {
	values := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return "/v1/" + k.String() + "?" + values.Encode()
}
