// Package prober decides when an instance may probe a target, and which one.
//
// The budget of a service holds over the whole fleet without any message: each
// instance may send only the share that the settings fix, and no window holds
// more than that share, whatever happens to the process. Within the budget, only
// targets about which traffic tells nothing are probed.
package prober
