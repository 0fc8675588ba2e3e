package assembler

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

func costKey(p *resolver.Policy) accountant.Key {
	return accountant.Key{Place: p.Place, Service: p.Service, Kind: p.Kind}
}

// dispatcher returns the dispatcher of a service.
func (i *Instance) dispatcher(place, name string) *dispatcher.Dispatcher {
	return i.services.get(place, name, i.handler.Clock()).dispatcher
}

// addCost adds an attempt to the cost of its kind. The call rate of the service
// counts first attempts only.
func (i *Instance) addCost(r *handler.Request, a handler.Attempt) {
	c := i.costs.Counters(costKey(r.Policy))
	c.TargetTime.Add(int64(a.Latency))
	switch a.Role {
	case handler.First:
		// Calls that are rejected before an attempt do not count. Callers repeat them, so
		// counting them would overstate the rate and activate too many homes.
		i.services.get(r.Policy.Place, r.Policy.Service, i.handler.Clock()).meter.Add()
	case handler.Retry:
		c.Retries.Add(1)
	case handler.Hedge:
		c.Hedges.Add(1)
	}
}

// recordOutcome counts the outcome of a request and adds it to the cost of the
// request's kind. If a peer returned the outcome, the peer has added the cost.
func (i *Instance) recordOutcome(r *handler.Request, o *handler.Outcome) {
	i.counters.count(o)
	if r.OutcomeFromPeer {
		return
	}
	c := i.costs.Counters(costKey(r.Policy))
	c.Requests.Add(1)
	c.BytesIn.Add(int64(len(r.Body)))
	c.BytesOut.Add(int64(len(o.Body)))
	switch o.Kind {
	case handler.Done:
		c.Done.Add(1)
	case handler.NotExecuted:
		c.NotExecuted.Add(1)
	case handler.Unknown:
		c.Unknown.Add(1)
	}
}

// connectionOpened adds a connection to the cost of the target's service.
func (i *Instance) connectionOpened(target netip.AddrPort) {
	services := i.targetServices.Load()
	if services == nil {
		return
	}
	s := (*services)[target]
	i.costs.Counters(accountant.Key{Place: s.Place, Service: s.Service}).Connections.Add(1)
}

// costReport returns the costs up to now, including the control traffic with peers.
func (i *Instance) costReport(now time.Time) accountant.Report {
	var messages, bytes uint64
	for _, t := range i.relayer.Traffic() {
		if !t.IsControl() {
			continue
		}
		messages += t.MessagesSent + t.MessagesReceived
		bytes += t.BytesSent + t.BytesReceived
	}
	i.costs.ControlMessages.Store(int64(messages))
	i.costs.ControlBytes.Store(int64(bytes))
	return i.costs.Report(now)
}
