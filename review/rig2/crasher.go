package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// crashPath is the path of the request that crashes each upstream that begins to run it.
	crashPath = "/lohu930/crash"
	// backAfter is when a crashed upstream is back.
	backAfter = 3 * time.Second
	// stableWindow is the bound of the same name.
	stableWindow = 3 * time.Second
	// allowedRetries is the number of retries that the rule allows after the third crash.
	allowedRetries = 3
	// triesAtOnce is how often the caller sends the request at once while it gets no success.
	triesAtOnce = 4
	// returnTime is the mean time between two series of tries.
	returnTime = 2 * time.Second
	// crasherTime is the length of the case, which begins when all instances are ready.
	crasherTime = 98 * time.Second
)

// crashes holds what has reached the upstreams of the request that crashes them, and what
// became of the orders beside it.
type crashes struct {
	mutex sync.Mutex
	all   []run
	// times holds when each upstream has crashed.
	times []time.Time
	// orders holds when each order has begun to run, and where.
	orders map[string]run
	// served and lost count the orders with a success and those that have begun to run and
	// got none.
	served, lost int
}

// runCrasher sends a request that crashes the upstreams again and again, as its caller does.
func runCrasher(c *caseRun) (bool, error) {
	f, err := newFleet(c.product, c.record, "bagmati-a", "bagmati-b", "bagmati-c")
	if err != nil {
		return false, err
	}
	defer f.close()
	s := &crashes{orders: map[string]run{}}
	serve := func(_ *upstream, q *http.Request, _ []byte) answer {
		if c.trouble && q.URL.Path == crashPath {
			s.crashed(time.Now())
			return answer{crash: true}
		}
		return answer{status: http.StatusOK, body: []byte("done " + q.URL.Path), work: 200 * time.Millisecond}
	}
	if _, err := f.addUpstreams("field-orders", 1, 13, 2, serve, func(r run) { s.arrived(r, c.record) }); err != nil {
		return false, err
	}
	f.configure(1<<20, []route{
		{"/lohu930/", "safe", "field-orders", time.Second, 400 * time.Millisecond, 2, 2},
		{"/pufi791/", "unsafe", "field-orders", 1200 * time.Millisecond, 500 * time.Millisecond, 1, 2},
	}, "field-orders")
	f.addInstances(6)
	if err := f.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), crasherTime)
	defer cancel()
	time.Sleep(stableWindow + time.Second)
	group := sync.WaitGroup{}
	for range 6 {
		group.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(250 * time.Millisecond) {
				s.order(ctx, f)
			}
		})
	}
	for ctx.Err() == nil {
		f.askCrasher(ctx)
		time.Sleep(time.Duration((0.75 + 0.5*rand.Float64()) * float64(returnTime)))
	}
	group.Wait()
	c.record.say("instances that ended by themselves: %v", f.endedByThemselves())
	return s.judge(c.record), nil
}

// arrived records that an upstream begins to run a request.
func (s *crashes) arrived(r run, to *record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.path != crashPath {
		to.printf("RUN %s at %s", r.id, r.upstream)
		s.orders[r.id] = r
		return
	}
	s.all = append(s.all, r)
	to.printf("RUN %s begins at %s (number %d)", r.id, r.upstream, len(s.all))
}

// crashed records that the request crashes an upstream.
func (s *crashes) crashed(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.times = append(s.times, at)
}

// order sends an order.
func (s *crashes) order(ctx context.Context, f *fleet) {
	front := f.fronts(ctx)[0]
	conn, err := dialFront(front)
	if err != nil {
		return
	}
	defer conn.Close()
	id := newID()
	r := conn.exchange(http.MethodPost, "/pufi791/"+id, f.host, id, 2500*time.Millisecond, []byte("order"))
	f.record.printf("ORDER %s to %s: %s", id, f.nameOf(front), r.text())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ran := s.orders[id]
	switch {
	case r.err == nil && r.status == http.StatusOK:
		s.served++
	case ran:
		s.lost++
		f.record.printf("LOST order %s ran at %s, its client got from %s: %s", id, o.upstream, f.nameOf(front), r.text())
	}
}

// fronts returns the addresses that the directory names, in random order.
func (f *fleet) fronts(ctx context.Context) []netip.AddrPort {
	for ctx.Err() == nil {
		if all, err := f.resolve(ctx, f.zones[rand.IntN(len(f.zones))]); err == nil {
			rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			return all
		}
		time.Sleep(100 * time.Millisecond)
	}
	return []netip.AddrPort{f.instances[0].front}
}

// allFronts returns the addresses that the directory names to the clients of any zone, in
// random order.
func (f *fleet) allFronts(ctx context.Context) []netip.AddrPort {
	var all []netip.AddrPort
	for _, z := range f.zones {
		if named, err := f.resolve(ctx, z); err == nil {
			all = append(all, named...)
		}
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// askCrasher is what the caller does: it sends the request and, since it is one of those that
// do not wait, a few times more at once while it gets no success, each time on a new
// connection and at any machine.
func (f *fleet) askCrasher(ctx context.Context) {
	fronts := f.allFronts(ctx)
	for _, front := range fronts[:min(triesAtOnce, len(fronts))] {
		id := newID()
		conn, err := dialFront(front)
		if err != nil {
			f.record.printf("SENT %s not, %s: %v", id, f.nameOf(front), err)
			continue
		}
		r := conn.exchange(http.MethodGet, crashPath, f.host, id, 2*time.Second, nil)
		conn.Close()
		f.record.printf("SENT %s to %s: %s, Retry-After %q", id, f.nameOf(front), r.text(), r.header.Get("Retry-After"))
		if r.err == nil && r.status == http.StatusOK {
			return
		}
	}
}

// judge reports whether the request has reached upstreams in more retries than allowed, later
// than the window after the third crash. What one attempt of the client reaches counts once.
func (s *crashes) judge(r *record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.say("orders: %d served, %d ran and were lost with a crashed upstream", s.served, s.lost)
	if len(s.times) < 3 {
		r.say("the request has crashed %d upstreams and reached them %d times", len(s.times), len(s.all))
		return false
	}
	from := s.times[2].Add(stableWindow)
	attempts, arrivals := map[string]bool{}, 0
	for _, a := range s.all {
		if a.at.After(from) {
			arrivals++
			attempts[a.id] = true
		}
	}
	r.say("the request has crashed %d upstreams and reached them %d times; later than %s after the third crash %d times, in %d attempts of its client (allowed: %d)",
		len(s.times), len(s.all), stableWindow, arrivals, len(attempts), allowedRetries)
	return len(attempts) > allowedRetries
}
