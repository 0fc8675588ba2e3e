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
	// lookupTimeout bounds one address lookup at one instance.
	lookupTimeout = time.Second
	// dialTimeout bounds the connection setup to an instance.
	dialTimeout = 500 * time.Millisecond
	// idleConnections is the number of idle connections kept per instance.
	idleConnections = 256
	// renewalFraction is the fraction of an address set's lifetime after which it is
	// renewed in the background.
	renewalFraction = 0.8
)

// kindKey identifies a request kind.
type kindKey struct{ service, kind string }

// addressSet is the cached response to an address lookup.
type addressSet struct {
	Addresses []netip.AddrPort `json:"addresses"`
	Lifetime  string           `json:"keep"`
	Executor  string           `json:"executor"`
	// Active is the number of leading addresses over which requests are distributed.
	Active int `json:"active"`

	// renewAt is the time of the renewal in the background. New requests do not use
	// the set after expireAt.
	renewAt, expireAt time.Time
	// preferred is the position of the address to try first. It is 0 until that
	// address fails.
	preferred atomic.Int64
	// requests counts the requests distributed over the active addresses in turn.
	// failed is set when an address has failed; from then on all requests try the
	// preferred address first.
	requests atomic.Int64
	failed   atomic.Bool
}

// startPosition returns the position of the address that a request tries first.
func (a *addressSet) startPosition() int {
	if a.Active > 1 && a.Active <= len(a.Addresses) && !a.failed.Load() {
		return int(a.requests.Add(1) % int64(a.Active))
	}
	return int(a.preferred.Load())
}

// recordFailure makes the next address the preferred one if the failed address is
// the preferred one.
func (a *addressSet) recordFailure(position int) {
	a.failed.Store(true)
	a.preferred.CompareAndSwap(int64(position), int64((position+1)%len(a.Addresses)))
}

// caller is a caller with its own connections and cached addresses.
type caller struct {
	settings Settings
	client   *http.Client
	lookups  *atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	// cached holds the cached address sets. renewing marks those that are being
	// renewed.
	cached   map[kindKey]*addressSet
	renewing map[kindKey]bool
	// executors holds the executor tokens from rejections, by instance.
	executors map[netip.AddrPort]string
}

// newCaller returns a caller. It adds the number of its address lookups to lookups.
func newCaller(s Settings, seed int64, lookups *atomic.Int64) *caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	return &caller{
		settings:  s,
		client:    &http.Client{Transport: transport},
		lookups:   lookups,
		random:    rand.New(rand.NewSource(seed)),
		cached:    map[kindKey]*addressSet{},
		renewing:  map[kindKey]bool{},
		executors: map[netip.AddrPort]string{},
	}
}

// addressesFor returns the addresses for a request kind. It looks them up if there
// is no cached set or it has expired, and renews an older set in the background.
func (c *caller) addressesFor(ctx context.Context, k kindKey, now time.Time) (*addressSet, error) {
	if c.settings.AnyInstance || c.settings.Direct {
		return &addressSet{Addresses: c.lookupOrder(nil)}, nil
	}
	c.mu.Lock()
	cached := c.cached[k]
	renew := cached != nil && now.After(cached.renewAt) && !c.renewing[k]
	if renew {
		c.renewing[k] = true
	}
	c.mu.Unlock()
	if cached == nil || now.After(cached.expireAt) {
		return c.lookup(ctx, k, cached)
	}
	if renew {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
			defer cancel()
			_, _ = c.lookup(ctx, k, cached)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.renewing[k] = false
		}()
	}
	return cached, nil
}

// discard removes an address set whose addresses have all failed, unless a newer set
// has replaced it.
func (c *caller) discard(k kindKey, old *addressSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached[k] == old {
		delete(c.cached, k)
	}
}

// lookup requests addresses from the instances of the old set, then from all others,
// until one responds.
func (c *caller) lookup(ctx context.Context, k kindKey, old *addressSet) (*addressSet, error) {
	var first []netip.AddrPort
	if old != nil {
		first = old.Addresses
	}
	var last error
	for _, address := range c.lookupOrder(first) {
		a, err := c.lookupAt(ctx, k, address)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cached[k] = a
		return a, nil
	}
	return nil, trace.Wrap(last, "no instance returned addresses")
}

// lookupAt requests addresses from one instance.
func (c *caller) lookupAt(ctx context.Context, k kindKey, address netip.AddrPort) (*addressSet, error) {
	c.lookups.Add(1)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {k.service}, "kind": {k.kind}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+address.String()+"/v1/address?"+query.Encode(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	time.Sleep(c.settings.NetworkDelay)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	a := &addressSet{}
	if err := json.NewDecoder(response.Body).Decode(a); err != nil {
		return nil, trace.Wrap(err)
	}
	time.Sleep(c.settings.NetworkDelay)
	lifetime, err := time.ParseDuration(a.Lifetime)
	if err != nil || response.StatusCode != http.StatusOK || len(a.Addresses) == 0 {
		return nil, trace.BadParameter("%s returned no usable addresses: status %d, expected 200, a lifetime and at least one address", address, response.StatusCode)
	}
	now := time.Now()
	a.expireAt = now.Add(lifetime)
	a.renewAt = now.Add(time.Duration(float64(lifetime) * renewalFraction))
	return a, nil
}

// lookupOrder returns the given addresses followed by all configured ones in random
// order.
func (c *caller) lookupOrder(first []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]netip.AddrPort{}, first...)
	for _, i := range c.random.Perm(len(c.settings.Instances)) {
		all = append(all, c.settings.Instances[i])
	}
	return all
}

// rememberExecutor stores the executor token that an instance named.
func (c *caller) rememberExecutor(address netip.AddrPort, executor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executors[address] = executor
}

// executor returns the executor token that an instance has named, or "".
func (c *caller) executor(address netip.AddrPort) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executors[address]
}
