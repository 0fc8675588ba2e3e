package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// drain is the bound of the deployment.
	drain = 2 * time.Second
	// cutFor is how long one instance is partitioned from the store, afterCut the time from then to
	// the removal of an entry.
	cutFor   = 4 * time.Second
	afterCut = 2050 * time.Millisecond
	// afterDrain is how much longer than drain an upstream serves that leaves.
	afterDrain = 150 * time.Millisecond
	// departures is the number of upstreams that leave, one after the other.
	departures = 5
)

// removed lets upstreams leave one after the other, of the kind that never reports draining: its
// entry is removed. Two seconds before each, a partition of one of ten instances from the
// store has healed: of the one that reads the store for its zone.
func removed(ctx context.Context, r *rig) error {
	const service = "huvo11a"
	var err error
	if r.firstStore, err = startProxy(r.storeAddress); err != nil {
		return err
	}
	if err := r.addInstances("abz", "abz", "abz", "abz", "inv", "inv", "edi", "edi", "gla", "gla"); err != nil {
		return err
	}
	for _, zone := range append(slices.Repeat([]string{"abz"}, departures+2), "inv", "inv", "edi", "edi", "gla", "gla") {
		u := &upstream{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: 4, queue: 16, work: 78 * time.Millisecond}
		if err := r.addUpstream(u); err != nil {
			return err
		}
	}
	r.configure(7, []string{service}, route{prefix: "/pufi791/", kind: "unsafe", service: service, timeout: 800 * time.Millisecond, aim: 250 * time.Millisecond, priority: 1, attempts: 2})
	if err := r.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 80*time.Second)
	defer cancel()
	t := taken{by: map[string]*instance{}}
	ids := newIDs()
	for z, perS := range map[string]float64{"abz": 90, "inv": 10, "edi": 10, "gla": 10} {
		c := newClients(r.site, z, ids, func(_ kind, a answer) {
			r.record.count(fmt.Sprintf("answers with status %d", a.status), 1)
			t.add(a)
		})
		r.group.Go(func() { c.resolve(ctx) })
		r.group.Go(func() {
			time.Sleep(300 * time.Millisecond)
			c.load(ctx, kind{name: "slot-book", method: http.MethodPost, prefix: "/pufi791/", deadline: 1500 * time.Millisecond, body: 1200}, perS)
		})
	}
	time.Sleep(6 * time.Second)
	left := map[string]time.Time{}
	for _, u := range r.upstreams[:departures] {
		if r.trouble {
			r.record.add("%s is partitioned from the store", r.instances[0].name)
			r.firstStore.cut()
		}
		time.Sleep(cutFor)
		if r.trouble {
			r.record.add("the partition heals")
			r.firstStore.heal()
		}
		time.Sleep(afterCut)
		r.store.Delete("servers/" + u.id)
		left[u.id] = time.Now()
		r.record.add("upstream %s leaves: its entry is removed", u.id)
		time.Sleep(drain + afterDrain)
		u.exit()
		time.Sleep(3 * time.Second)
	}
	cancel()
	r.group.Wait()
	for _, x := range r.record.allRuns() {
		gone, leaves := left[x.upstream]
		after, by := x.at.Sub(gone), t.by[x.id]
		// The instance that was partitioned is not in touch.
		if !leaves || after <= drain || by == nil || by == r.instances[0] {
			continue
		}
		if t.got[x.id] != "status 200" {
			r.record.count("such requests, not idempotent, that got no success", 1)
		}
		r.record.breaks("request %s, taken by %s, reaches upstream %s %s after the store accepted that it is gone; its client got %s",
			x.id, by.name, x.upstream, after.Round(time.Millisecond), t.got[x.id])
	}
	return nil
}

// taken holds by which instance each request was taken, and what its client got.
type taken struct {
	mutex sync.Mutex
	by    map[string]*instance
	got   map[string]string
}

func (t *taken) add(a answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.got == nil {
		t.got = map[string]string{}
	}
	t.by[a.id], t.got[a.id] = a.at, fmt.Sprintf("status %d", a.status)
}
