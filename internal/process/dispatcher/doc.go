// Package dispatcher decides for one service which request goes to which target
// and when.
//
// A Dispatcher combines the packages chooser, queuer and retrier. While no
// request waits, a decision takes no lock: it reads the configuration through an
// atomic pointer and takes capacity at a target by a compare-and-swap. A mutex
// orders requests only when they wait for capacity.
//
// Submit, Hedge, Retry, Cancel, ServeQueue and Lease.Release make the decisions.
// They do not block and take the present time as an argument. A granted request
// holds a Lease on its target, and a waiting one has a Ticket. Acquire makes the
// calls for a request that may wait.
//
// Package chooser defines the terms kind, slot, spare capacity, home and owner.
package dispatcher
