package watcher

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Kind is a kind of document that the platform publishes. It is unrelated to the kinds
// of requests.
type Kind uint8

// The kinds of documents.
const (
	Settings Kind = iota
	List
)

var kindNames = [...]string{"settings", "list"}

// String returns the name of the kind, which is also its path element in calls.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// requestURI returns the path and query of a call for a document with a version above
// after. The platform holds the call for up to wait.
func (k Kind) requestURI(after uint64, wait time.Duration) string {
	values := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return "/v1/" + k.String() + "?" + values.Encode()
}
