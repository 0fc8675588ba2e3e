package composer

import (
	"time"

	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
)

// gaugeInterval is the time between two updates of the gauges. The metrics page is
// updated with the same period.
const gaugeInterval = time.Second

// updateGauges sets all gauges to their current values.
func (i *Instance) updateGauges(now time.Time) {
	s := i.options.Scope
	set := func(s tally.Scope, name string, n int) { s.Gauge(name).Update(float64(n)) }
	ready := 0
	if i.Ready() {
		ready = 1
	}
	set(s, "ready", ready)
	set(s, "sharers", i.fleetSize(now).Instances)
	set(s, "client_connections", i.acceptor.OpenConnections())
	set(s, "client_requests", i.acceptor.PendingRequests())
	s.Gauge("body_bytes").Update(float64(i.memory.Held()))
	set(s, "target_connections", i.forwarder.Connections())
	set(s, "targets_limited", i.forwarder.LimitedTargets())
	paused, cold := i.forwarder.RestrictedTargets(now)
	set(s, "targets_paused", paused)
	set(s, "targets_cold", cold)
	emptied := i.registrar.EmptiedZones()
	set(s, "zones_emptied", len(emptied))
	set(s, "emptied_requests", i.forwarder.RequestsInZones(emptied...))
	if t := i.tables.Current(); t != nil {
		s.Gauge("settings_version").Update(float64(t.Version))
	}
	for _, f := range i.forwarder.Stats(now) {
		tagged := s.Tagged(map[string]string{"service": f.Service})
		set(tagged, "waiting", f.Waiting)
		set(tagged, "retries_left", f.Retries)
	}
	for service, states := range i.registrar.Count() {
		for state, n := range states {
			set(s.Tagged(map[string]string{"service": service, "state": registrar.State(state).String()}), "targets", n)
		}
	}
	costs := i.assessor.Costs()
	s.Gauge("capacity").Update(i.options.Resources.Capacity(costs))
	s.Gauge("ease").Update(i.assessor.Ease())
	s.Gauge("request_cpu_seconds").Update(costs.CPU.Seconds())
	s.Gauge("request_bytes").Update(costs.Bytes)
	set(s, "members_earlier", i.earlierBuilds())
	members := map[detector.State]int{}
	for _, m := range i.relayer.Members() {
		members[m.State]++
	}
	for state := detector.Alive; state <= detector.Ended; state++ {
		set(s.Tagged(map[string]string{"state": state.String()}), "members", members[state])
	}
}
