// Package sizer tells an instance among how many instances it has to divide what the fleet
// may use together: its budgets of retries and probes, the connections to a target and the
// messages to a limited one.
package sizer
