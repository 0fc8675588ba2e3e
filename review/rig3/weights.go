package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	weightsTimeout = time.Second
	// lateAfter is how long after the route's timeout an answer counts as missing.
	lateAfter = 500 * time.Millisecond
	// configApply is the bound on the time until a configuration is in force.
	configApply     = 2 * time.Second
	weightsRequests = 100
	// minLate is the least number of late requests that counts, so that single ones on a busy
	// machine don't.
	minLate          = 8
	weightsDeadline  = 2500 * time.Millisecond
	weightsPause     = 50 * time.Millisecond
	partsPerBillion  = 1_000_000_000
	partsPerHundred  = 100
	canaryPercentage = 10
)

// largeWeights breaks the rule CONFIG if, of the requests that are unanswered at the timeout of
// their route, more than half have no answer half a second later.
func largeWeights(f *fleet, trouble bool) (bool, error) {
	for k := range 6 {
		u := &upstream{name: fmt.Sprintf("i-%d", k), service: []string{"stable", "canary"}[k%2], slots: 4, work: 20 * time.Millisecond}
		if err := f.addUpstreams(u); err != nil {
			return false, err
		}
	}
	f.configure(route{"/orders/", "unsafe", weightsTimeout, []part{{"stable", 1}}})
	if err := f.start(2); err != nil {
		return false, err
	}
	total := partsPerHundred
	if trouble {
		total = partsPerBillion
	}
	canary := total / partsPerHundred * canaryPercentage
	f.configure(route{"/orders/", "unsafe", weightsTimeout, []part{{"stable", total - canary}, {"canary", canary}}})
	time.Sleep(configApply)
	var group sync.WaitGroup
	var atTimeout, later atomic.Int32
	for k := range weightsRequests {
		group.Go(func() {
			a := f.send(f.instances[k%2], call{method: http.MethodPost, path: "/orders/x", body: "x", deadline: weightsDeadline})
			if a.status == 0 || a.took > weightsTimeout {
				atTimeout.Add(1)
			}
			if a.status == 0 || a.took > weightsTimeout+lateAfter {
				later.Add(1)
			}
		})
		time.Sleep(weightsPause)
	}
	group.Wait()
	f.rec.line("%d of %d requests were unanswered at the timeout, %d still %s later", atTimeout.Load(), weightsRequests, later.Load(), lateAfter)
	return later.Load() >= minLate && 2*later.Load() > atTimeout.Load(), nil
}
