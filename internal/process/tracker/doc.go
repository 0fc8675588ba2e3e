// Package tracker holds the state of each target of each service.
//
// Four sources report on a target: the platform's list, the target's responses, its
// health endpoint and peers. The reports are about runs. A run is one execution of the
// target's process, from its start to its end, and is identified by its start id.
//
// A run that is leaving is in state Draining. As soon as one source reports that a run
// is leaving, the run gets no new work, and no later report makes it usable again. The
// target becomes usable again only when a run is reported that was never seen at its
// address. Reports of the target itself take precedence over the list, because the
// list lags.
package tracker
