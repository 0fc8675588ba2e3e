package loader

import (
	"context"
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// askTimeout bounds one question for addresses.
	askTimeout = time.Second
	// dialTimeout bounds the connecting to an instance.
	dialTimeout = 500 * time.Millisecond
	// idleConnections is the number of idle connections kept to an instance.
	idleConnections = 256
	// refreshShare is the share of the keeping time after which an answer is
	// renewed in the background.
	refreshShare = 0.8
)

// key names what an answer is about.
type key struct{ service, kind string }

// answer is a kept answer.
type answer struct {
	Addresses []netip.AddrPort `json:"addresses"`
	Keep      string           `json:"keep"`
	Executor  string           `json:"executor"`
	// Active is the number of leading addresses over which requests are spread.
	Active int `json:"active"`

	// renew and expire are the times of renewal and of expiry.
	renew, expire time.Time
	// first is the position of the address to begin with, 0 until that one fails.
	first atomic.Int64
	// turn counts the requests that were spread, failed is set once an address has
	// failed, after which all requests begin with the first one.
	turn   atomic.Int64
	failed atomic.Bool
}

// begin returns the position of the address that a request begins with.
func (a *answer) begin() int {
	if a.Active > 1 && a.Active <= len(a.Addresses) && !a.failed.Load() {
		return int(a.turn.Add(1) % int64(a.Active))
	}
	return int(a.first.Load())
}

// fail makes the next address the first one if the failed one was that.
func (a *answer) fail(position int) {
	a.failed.Store(true)
	a.first.CompareAndSwap(int64(position), int64((position+1)%len(a.Addresses)))
}

// caller is one independent caller.
type caller struct {
	settings Settings
	client   *http.Client
	asked    *atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	// answers holds the kept answers, renewing those being renewed.
	answers  map[key]*answer
	renewing map[key]bool
	// tokens are the executors learned from refusals, by instance.
	tokens map[netip.AddrPort]string
}

// newCaller returns a caller with its own connections.
func newCaller(s Settings, seed int64, asked *atomic.Int64) *caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	return &caller{
		settings: s,
		client:   &http.Client{Transport: transport},
		asked:    asked,
		random:   rand.New(rand.NewSource(seed)),
		answers:  map[key]*answer{},
		renewing: map[key]bool{},
		tokens:   map[netip.AddrPort]string{},
	}
}

// addresses returns the answer to use now and renews it when it grows old.
func (c *caller) addresses(ctx context.Context, k key, now time.Time) (*answer, error) {
	if c.settings.AnyInstance || c.settings.Direct {
		return &answer{Addresses: c.shuffled(nil)}, nil
	}
	c.mu.Lock()
	kept := c.answers[k]
	renew := kept != nil && now.After(kept.renew) && !c.renewing[k]
	if renew {
		c.renewing[k] = true
	}
	c.mu.Unlock()
	if kept == nil || now.After(kept.expire) {
		return c.ask(ctx, k, kept)
	}
	if renew {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			_, _ = c.ask(ctx, k, kept)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.renewing[k] = false
		}()
	}
	return kept, nil
}

// forget drops an answer none of whose addresses could be reached.
func (c *caller) forget(k key, old *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers[k] == old {
		delete(c.answers, k)
	}
}

// ask asks the instances of the old answer, then all others, until one answers.
func (c *caller) ask(ctx context.Context, k key, old *answer) (*answer, error) {
	var first []netip.AddrPort
	if old != nil {
		first = old.Addresses
	}
	var last error
	for _, address := range c.shuffled(first) {
		a, err := c.askOne(ctx, k, address)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers[k] = a
		return a, nil
	}
	return nil, trace.Wrap(last, "no instance answered")
}

// askOne asks one instance.
func (c *caller) askOne(ctx context.Context, k key, address netip.AddrPort) (*answer, error) {
	c.asked.Add(1)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := url.Values{"service": {k.service}, "kind": {k.kind}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+address.String()+"/v1/address?"+query.Encode(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	time.Sleep(c.settings.NetworkDelay)
	reply, err := c.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = reply.Body.Close() }()
	a := &answer{}
	if err := json.NewDecoder(reply.Body).Decode(a); err != nil {
		return nil, trace.Wrap(err)
	}
	time.Sleep(c.settings.NetworkDelay)
	keep, err := time.ParseDuration(a.Keep)
	if err != nil || reply.StatusCode != http.StatusOK || len(a.Addresses) == 0 {
		return nil, trace.BadParameter("%s gave no usable answer, status %d", address, reply.StatusCode)
	}
	now := time.Now()
	a.expire = now.Add(keep)
	a.renew = now.Add(time.Duration(float64(keep) * refreshShare))
	return a, nil
}

// shuffled returns the given addresses followed by all known ones in random
// order.
func (c *caller) shuffled(first []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]netip.AddrPort{}, first...)
	for _, i := range c.random.Perm(len(c.settings.Instances)) {
		all = append(all, c.settings.Instances[i])
	}
	return all
}

// learn keeps the executor that an instance named.
func (c *caller) learn(address netip.AddrPort, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[address] = token
}

// token returns the executor learned from an instance.
func (c *caller) token(address netip.AddrPort) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[address]
}
