// Package dispatcher decides for one service which request goes to which target
// and when.
//
// A Dispatcher joins the chooser, the queuer and the retrier. While no request
// waits, a decision takes no lock: it reads one configuration through an atomic
// pointer and takes room at a target by a compare-and-swap. Only when requests
// wait for room does a mutex order them.
//
// The deciding functions Offer, Hedge, Retry, Cancel, Expire and Lease.Release
// do not block and are told the present time. Acquire drives them for a request
// that is willing to wait.
package dispatcher
