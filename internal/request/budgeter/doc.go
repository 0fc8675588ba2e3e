// Package budgeter bounds the traffic that one instance adds to its clients'
// requests: attempts beyond the first, and probes.
//
// Each instance uses a fixed share of the fleet's budget. The fleet therefore
// stays within its budget without exchanging any message, also while it is
// partitioned or its instances restart.
//
// When all targets of a service reject a part of their requests, the budget of retries
// does not last for all; a part of it is kept for the more urgent requests. While they do so
// although they have room, most of it is also kept for clients that return after a rejection:
// a client that is rejected for the first time has another attempt at its return, one that
// returns has none, and a budget on first come is spent in the first seconds.
package budgeter
