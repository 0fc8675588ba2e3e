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
	// tokenLife is how long another executor's token is told on. It is far below
	// the time for which an executor accepts a token.
	tokenLife = time.Second
	// tokenTimeout bounds the question for a token, which delays an answer.
	tokenTimeout = 50 * time.Millisecond
)

// tokens holds the tokens of the executors that answers name.
type tokens struct {
	self    netip.AddrPort
	table   *executor.Table
	forward func(ctx context.Context, peer netip.AddrPort, o relayer.Operation) (relayer.Outcome, error)
	// group keeps questions to one executor from running beside each other.
	group singleflight.Group

	mutex sync.Mutex
	kept  map[netip.AddrPort]keptToken
}

type keptToken struct {
	incarnation uint64
	text        string
	until       time.Time
}

// get returns a token of a member's executor, or nothing if there is none now.
func (t *tokens) get(m detector.Member, now time.Time) string {
	if m.Instance.Peer == t.self {
		if token, ok := t.table.Token(now); ok {
			return token.String()
		}
		return ""
	}
	if text, ok := t.find(m, now); ok {
		return text
	}
	text, _, _ := t.group.Do(m.Instance.Peer.String(), func() (any, error) {
		text := t.ask(m)
		t.keep(m, text, time.Now())
		return text, nil
	})
	return text.(string)
}

func (t *tokens) find(m detector.Member, now time.Time) (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k := t.kept[m.Instance.Peer]
	return k.text, k.incarnation == m.Incarnation && now.Before(k.until)
}

// keep keeps an answer, also that there is none, so that an executor that does
// not answer delays few callers.
func (t *tokens) keep(m detector.Member, text string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.kept, func(_ netip.AddrPort, k keptToken) bool { return !now.Before(k.until) })
	t.kept[m.Instance.Peer] = keptToken{incarnation: m.Incarnation, text: text, until: now.Add(tokenLife)}
}

func (t *tokens) ask(m detector.Member) string {
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	a, err := t.forward(ctx, m.Instance.Peer, relayer.Operation{Incarnation: m.Incarnation, Path: pathToken})
	if err != nil {
		return ""
	}
	return a.Header.Get(handler.HeaderExecutor)
}
