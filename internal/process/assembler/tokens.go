package assembler

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/request/handler"
)

const (
	// tokenCacheTime is how long the token of another executor is cached. It is far
	// shorter than the time for which the executor accepts the token.
	tokenCacheTime = time.Second
	// tokenTimeout bounds the request for a token, which delays an address response.
	tokenTimeout = 50 * time.Millisecond
)

// tokenCache caches the tokens of the executors that address responses name.
type tokenCache struct {
	self    netip.AddrPort
	table   *executor.Table
	forward func(ctx context.Context, peer netip.AddrPort, o relayer.Operation) (relayer.Outcome, error)
	// group merges concurrent requests to the same executor.
	group singleflight.Group

	mutex  sync.Mutex
	cached map[netip.AddrPort]cachedToken
}

type cachedToken struct {
	incarnation uint64
	text        string
	expires     time.Time
}

// get returns a token of a member's executor, or "" if none is available now.
func (t *tokenCache) get(m detector.Member, now time.Time) string {
	if m.Instance.Peer == t.self {
		if token, ok := t.table.Token(now); ok {
			return token.String()
		}
		return ""
	}
	if text, ok := t.lookUp(m, now); ok {
		return text
	}
	text, _, _ := t.group.Do(m.Instance.Peer.String(), func() (any, error) {
		text := t.request(m)
		t.store(m, text, time.Now())
		return text, nil
	})
	return text.(string)
}

func (t *tokenCache) lookUp(m detector.Member, now time.Time) (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.cached[m.Instance.Peer]
	return c.text, c.incarnation == m.Incarnation && now.Before(c.expires)
}

// store caches a token. It also caches an empty one, so that an executor that does not
// respond delays few callers.
func (t *tokenCache) store(m detector.Member, text string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.cached, func(_ netip.AddrPort, c cachedToken) bool { return !now.Before(c.expires) })
	t.cached[m.Instance.Peer] = cachedToken{incarnation: m.Incarnation, text: text, expires: now.Add(tokenCacheTime)}
}

func (t *tokenCache) request(m detector.Member) string {
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	outcome, err := t.forward(ctx, m.Instance.Peer, relayer.Operation{Incarnation: m.Incarnation, Path: tokenPath})
	if err != nil {
		return ""
	}
	return outcome.Header.Get(handler.HeaderExecutor)
}
