package assembler

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/server"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
)

// Explanation is what an instance believes and why it chose as it did.
type Explanation struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Place       string `json:"place"`
	Zone        string `json:"zone"`
	// Settings and List tell what is in force and what was rejected last.
	Settings   Document          `json:"settings"`
	List       Document          `json:"list"`
	Peers      []server.Peer     `json:"peers"`
	Services   []Service         `json:"services"`
	Executor   executor.Stats    `json:"executor"`
	Quarantine quarantiner.Stats `json:"quarantine"`
}

// Document tells which version of a document is in force.
type Document struct {
	Version uint64    `json:"version"`
	Digest  uint64    `json:"digest"`
	Since   time.Time `json:"since"`
	// Rejected is the version that was rejected last, and Reason why.
	Rejected uint64 `json:"rejected,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Service tells what an instance believes of one service.
type Service struct {
	dispatcher.Status
	// Known holds all targets, usable or not.
	Known []tracker.Target `json:"known"`
	// Probes counts the probes that the instance has sent.
	Probes int64 `json:"probes"`
}

// explain returns the present explanation.
func (i *Instance) explain(now time.Time) any {
	e := Explanation{
		Instance:    i.options.Address.String(),
		Incarnation: i.incarnation,
		Place:       i.options.Place,
		Zone:        i.options.Zone,
		Settings:    document(i.settings.Status()),
		List:        document(i.list.Status()),
		Peers:       i.peers(),
		Executor:    i.table.Stats(),
		Quarantine:  i.quarantine.Stats(),
	}
	for k, s := range i.services.all() {
		e.Services = append(e.Services, Service{
			Status: s.dispatcher.Snapshot(now),
			Known:  i.tracker.All(k.Place, k.Service),
			Probes: s.prober.SentProbes(),
		})
	}
	return e
}

func document(s adopter.Status) Document {
	d := Document{Version: s.Stamp.Version, Digest: s.Stamp.Digest, Since: s.Since}
	if s.LastRejection != nil {
		d.Rejected = s.LastRejection.Stamp.Version
		d.Reason = s.LastRejection.Reason.Error()
	}
	return d
}
