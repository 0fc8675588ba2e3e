// Package prober decides when an instance may probe a target, and which target.
//
// The probe budget of a service limits the probes of all instances together without
// any message between them. The settings fix an equal share for each instance, and
// no instance sends more probes than its share within any window, even if its process
// restarts or is paused. Within the budget, the prober probes only targets whose state
// cannot be seen from traffic.
package prober
