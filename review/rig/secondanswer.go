package main

import (
	"context"
	"fmt"
	"math/rand"
	"sync/atomic"
	"time"
)

// The disruption of the case, as the site file macaulay-deice has it: kind = "garble",
// how = "extra late", share = 0.6, x = 0.03, for_s = 5.0.
const (
	garbledShare = 0.6
	garbledPart  = 0.03
	garbledFor   = 5 * time.Second
)

// secondAnswers lets a part of a service's upstreams send some of their answers twice, the second
// one late: where the next answer on the connection is expected. Upstreams repeat the identifier
// of each request that has one; a health request has none.
func secondAnswers(ctx context.Context, r *rig) error {
	const service = "huvo11a"
	zones := []string{"abz", "inv", "edi", "gla"}
	if err := r.addInstances(append(zones, zones...)...); err != nil {
		return err
	}
	var on atomic.Bool
	homes := []string{"abz", "abz", "abz", "abz", "inv", "inv", "inv", "edi", "edi", "edi", "gla"}
	garbled := rand.Perm(len(homes))[:int(garbledShare*float64(len(homes)))]
	for k, zone := range homes {
		u := &upstream{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: 4, queue: 16, work: 60 * time.Millisecond}
		for _, g := range garbled {
			if r.trouble && g == k {
				u.trouble = func(bool) fault {
					if on.Load() && rand.Float64() < garbledPart {
						return secondAnswer
					}
					return sound
				}
			}
		}
		if err := r.addUpstream(u); err != nil {
			return err
		}
	}
	r.configure(7, []string{service}, route{prefix: "/lohu930/", kind: "safe", service: service, timeout: 1200 * time.Millisecond, aim: 200 * time.Millisecond, priority: 2, attempts: 2})
	if err := r.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	ids := newIDs()
	for _, z := range zones {
		c := newClients(r.site, z, ids, r.checkMixed)
		r.group.Go(func() { c.resolve(ctx) })
		r.group.Go(func() {
			time.Sleep(300 * time.Millisecond)
			c.load(ctx, kind{name: "queue-read", method: "GET", prefix: "/lohu930/", deadline: 1200 * time.Millisecond}, 38)
		})
	}
	time.Sleep(5 * time.Second)
	r.record.add("the disruption begins")
	on.Store(true)
	time.Sleep(garbledFor)
	on.Store(false)
	r.record.add("the disruption ends")
	<-ctx.Done()
	r.group.Wait()
	return nil
}

// checkMixed checks the rule MIXED: a success has the signature of the upstream that ran the
// request, and its whole body.
func (r *rig) checkMixed(_ kind, a answer) {
	r.record.count(fmt.Sprintf("answers with status %d", a.status), 1)
	if a.status < 200 || a.status > 299 || a.err != nil {
		return
	}
	for _, x := range r.record.runsOf(a.id) {
		if body := bodyOf(x.upstream, a.id); a.body == body && a.header.Get("Upstream-Signature") == signature(x.upstream, a.id, body) {
			return
		}
	}
	r.record.breaks("client %s got status %d without the answer of an upstream to it: body %q, headers %v", a.id, a.status, a.body, a.header)
}
