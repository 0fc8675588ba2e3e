// Package tracker holds the state of each target of each service.
//
// Four sources report on a target: the platform's list, the target's responses, its
// health endpoint and peers. The reports are about runs. A run is one run of the
// target's process, identified by its start id. As soon as one source reports that a
// run is leaving, the run gets no new work, and no later report makes it usable
// again. The target becomes usable again only when a run is reported that was never
// seen at its address. Reports of the target itself take precedence over the list,
// because the list lags.
package tracker
