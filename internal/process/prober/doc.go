// Package prober decides when an instance may probe a target, and which target.
//
// The probe budget of a service limits the probes of all instances together without
// any message between them. The settings fix an equal share for each instance, and
// no instance sends more probes than its share within any window, also when its
// process restarts or is paused. Within the budget, the prober probes only targets
// whose state the traffic does not show.
package prober
