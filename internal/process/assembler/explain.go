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

// Explanation is the state of an instance with the reasons of its latest choices. It
// is served as JSON.
type Explanation struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Place       string `json:"place"`
	Zone        string `json:"zone"`
	// Settings and List describe the documents in force and the last rejections.
	Settings   DocumentStatus    `json:"settings"`
	List       DocumentStatus    `json:"list"`
	Peers      []server.Peer     `json:"peers"`
	Services   []ServiceStatus   `json:"services"`
	Executor   executor.Stats    `json:"executor"`
	Quarantine quarantiner.Stats `json:"quarantine"`
}

// DocumentStatus describes the version of a document that is in force.
type DocumentStatus struct {
	Version uint64    `json:"version"`
	Digest  uint64    `json:"digest"`
	Since   time.Time `json:"since"`
	// RejectedVersion is the version that was rejected last, and RejectionReason the
	// reason.
	RejectedVersion uint64 `json:"rejected,omitempty"`
	RejectionReason string `json:"reason,omitempty"`
}

// ServiceStatus is the state of one service at an instance.
type ServiceStatus struct {
	dispatcher.Status
	// AllTargets holds all targets, usable or not.
	AllTargets []tracker.Target `json:"known"`
	// SentProbes is the number of probes that the instance has sent.
	SentProbes int64 `json:"probes"`
}

// explain returns the current explanation.
func (i *Instance) explain(now time.Time) any {
	e := Explanation{
		Instance:    i.options.Address.String(),
		Incarnation: i.incarnation,
		Place:       i.options.Place,
		Zone:        i.options.Zone,
		Settings:    documentStatus(i.settings.Status()),
		List:        documentStatus(i.list.Status()),
		Peers:       i.peers(),
		Executor:    i.operationTable.Stats(),
		Quarantine:  i.quarantine.Stats(),
	}
	for k, s := range i.services.all() {
		e.Services = append(e.Services, ServiceStatus{
			Status:     s.dispatcher.Snapshot(now),
			AllTargets: i.tracker.All(k.Place, k.Service),
			SentProbes: s.prober.SentProbes(),
		})
	}
	return e
}

func documentStatus(s adopter.Status) DocumentStatus {
	d := DocumentStatus{Version: s.Stamp.Version, Digest: s.Stamp.Digest, Since: s.Since}
	if s.LastRejection != nil {
		d.RejectedVersion = s.LastRejection.Stamp.Version
		d.RejectionReason = s.LastRejection.Reason.Error()
	}
	return d
}
