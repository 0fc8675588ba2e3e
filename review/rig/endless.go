package main

import (
	"context"
	"fmt"
	"math/rand"
	"sync/atomic"
	"syscall"
	"time"
)

var endlessPart, endlessShare = 0.5, 1.0

func endlessBodies(ctx context.Context, r *rig) error {
	const service = "wuno96b"
	if err := r.addInstances("bagmati-a", "bagmati-b", "bagmati-c"); err != nil {
		return err
	}
	var on atomic.Bool
	for k := range 17 {
		u := &upstream{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: "bagmati-" + string(rune('a'+k%3)), slots: 2, queue: 4, work: 500 * time.Millisecond}
		if r.trouble && float64(k) < endlessShare*17 {
			u.trouble = func(bool) fault {
				if on.Load() && rand.Float64() < endlessPart {
					return endless
				}
				return sound
			}
		}
		if err := r.addUpstream(u); err != nil {
			return err
		}
	}
	r.configure(7, []string{service}, route{prefix: "/lohu930/", kind: "safe", service: service, timeout: 4 * time.Second, aim: 1500 * time.Millisecond, priority: 2, attempts: 2})
	if err := r.startAll(); err != nil {
		return err
	}
	ids := newIDs()
	ctx, cancel := context.WithTimeout(ctx, 25*time.Second)
	defer cancel()
	r.group.Go(func() {
		for ctx.Err() == nil {
			for _, i := range r.instances {
				if m := i.memory(); m > memoryMiB {
					r.record.breaks("%s holds %d MiB, its limit is %d: the platform kills it", i.name, m, memoryMiB)
					i.signal(syscall.SIGKILL)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	for _, z := range []string{"bagmati-a", "bagmati-b", "bagmati-c"} {
		c := newClients(r.site, z, ids, func(_ kind, a answer) {
			r.record.count(fmt.Sprintf("answers with status %d", a.status), 1)
		})
		r.group.Go(func() { c.resolve(ctx) })
		r.group.Go(func() {
			time.Sleep(300 * time.Millisecond)
			c.load(ctx, kind{name: "warranty-history", method: "GET", prefix: "/lohu930/", deadline: 8 * time.Second}, 5.2)
		})
	}
	time.Sleep(5 * time.Second)
	r.record.add("the disruption begins")
	on.Store(true)
	time.Sleep(8 * time.Second)
	on.Store(false)
	r.record.add("the disruption ends")
	<-ctx.Done()
	r.group.Wait()
	for _, i := range r.instances {
		r.record.count("peak memory of "+i.name+", MiB", i.peakMiB)
	}
	return nil
}
