package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// The traffic of the case: one kind of request, at a steady rate above what the upstreams can do.
const (
	waitingUpstreams = 5
	waitingPerS      = 28
	waitingClients   = 6
)

// waiting stops and starts the instances in turn with SIGTERM under steady high load. Clients use the
// addresses that the directory names, for as long as it says.
func waiting(ctx context.Context, r *rig) error {
	const service = "wuno96b"
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	if err := r.addInstances(append(zones, append(zones, zones...)...)...); err != nil {
		return err
	}
	for k := range waitingUpstreams {
		u := &upstream{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zones[k%3], slots: 2, queue: 4, work: 640 * time.Millisecond}
		if err := r.addUpstream(u); err != nil {
			return err
		}
	}
	r.configure(7, []string{service}, route{prefix: "/gofe112/", kind: "safe", service: service, timeout: 4 * time.Second, aim: 1500 * time.Millisecond, priority: 2, attempts: 2})
	if err := r.startAll(); err != nil {
		return err
	}
	ids := newIDs()
	check := func(_ kind, a answer) {
		r.record.count(fmt.Sprintf("answers with status %d", a.status), 1)
		if a.at == nil || !a.sent || a.status != 0 {
			return
		}
		at, ended := a.at.lastSignal(), a.began.Add(a.took)
		if at.IsZero() || a.took <= lossSlack || a.took > waitingTimeout || ended.Before(at) || ended.Sub(at) > grace+time.Second {
			return
		}
		runs := r.record.runsOf(a.id)
		if sent := a.began.Sub(at); len(runs) > 0 && sent <= 3*time.Second && ended.Sub(at) >= grace*5/6 {
			r.record.count("requests cut while an upstream was at work on them in the last sixth of the grace period, which is allowed", 1)
			return
		}
		r.record.breaks("client %s sent its whole request %s after the signal; its connection ended %s later, %s after the signal, without an answer; upstreams that ran it: %d; %v",
			a.id, a.began.Sub(at).Round(time.Millisecond), a.took.Round(time.Millisecond), ended.Sub(at).Round(time.Millisecond), len(runs), a.err)
	}
	ctx, cancel := context.WithTimeout(ctx, 36*time.Second)
	defer cancel()
	for k := range waitingClients {
		c := newClients(r.site, zones[k%3], ids, check)
		r.group.Go(func() { c.resolve(ctx) })
		r.group.Go(func() {
			time.Sleep(200 * time.Millisecond)
			c.load(ctx, kind{name: "warranty-history", method: http.MethodGet, prefix: "/gofe112/", deadline: 8 * time.Second, fresh: true}, waitingPerS/float64(waitingClients))
		})
	}
	time.Sleep(8 * time.Second)
	if r.trouble {
		for _, i := range r.instances {
			r.group.Go(i.restart)
			time.Sleep(rollGap)
		}
	}
	<-ctx.Done()
	r.group.Wait()
	return nil
}

const (
	// rollGap is the time between two stops, as on the day trouble-2 of the site.
	rollGap = 2 * time.Second
	// lossSlack is the bound of the deployment.
	lossSlack = 200 * time.Millisecond
	// waitingTimeout is the timeout of the route, less a margin.
	waitingTimeout = 3900 * time.Millisecond
)
