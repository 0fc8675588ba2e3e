package assembler

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

func key(p *resolver.Policy) accountant.Key {
	return accountant.Key{Place: p.Place, Service: p.Service, Kind: p.Kind}
}

// dispatcher returns the decider of a service.
func (i *Instance) dispatcher(place, name string) *dispatcher.Dispatcher {
	return i.services.get(place, name, i.handler.Clock()).dispatcher
}

// account adds an attempt to the costs of its kind.
func (i *Instance) account(r *handler.Request, a handler.Attempt) {
	c := i.accounts.Counters(key(r.Policy))
	c.Target.Add(int64(a.Latency))
	switch a.Role {
	case handler.First:
		// Refused calls are not counted, since callers repeat them: a home that is
		// short of room would seem to need many more homes.
		i.services.get(r.Policy.Place, r.Policy.Service, i.handler.Clock()).meter.Add()
	case handler.Retry:
		c.Retries.Add(1)
	case handler.Hedge:
		c.Hedges.Add(1)
	}
}

// settle adds a request and its outcome to the costs of its kind, unless it was
// passed on and its executor has done so.
func (i *Instance) settle(r *handler.Request, o *handler.Outcome) {
	i.counters.count(o)
	if r.OutcomeFromPeer {
		return
	}
	c := i.accounts.Counters(key(r.Policy))
	c.Requests.Add(1)
	c.In.Add(int64(len(r.Body)))
	c.Out.Add(int64(len(o.Body)))
	switch o.Kind {
	case handler.Done:
		c.Done.Add(1)
	case handler.NotExecuted:
		c.Unrun.Add(1)
	case handler.Unknown:
		c.Unknown.Add(1)
	}
}

// opened adds a connection to the costs of the target's service.
func (i *Instance) opened(target netip.AddrPort) {
	homes := i.homes.Load()
	if homes == nil {
		return
	}
	s := (*homes)[target]
	i.accounts.Counters(accountant.Key{Place: s.Place, Service: s.Service}).Connections.Add(1)
}

// cost returns the accounts with the exchange between instances up to now.
func (i *Instance) cost(now time.Time) accountant.Report {
	var messages, bytes uint64
	for _, t := range i.relayer.Traffic() {
		if !t.IsControl() {
			continue
		}
		messages += t.MessagesSent + t.MessagesReceived
		bytes += t.BytesSent + t.BytesReceived
	}
	i.accounts.Messages.Store(int64(messages))
	i.accounts.Bytes.Store(int64(bytes))
	return i.accounts.Report(now)
}
