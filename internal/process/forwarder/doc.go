// Package forwarder carries one client request to its answer.
//
// It finds the route, lets the placer of the route's service choose a target,
// sends the request there, and tries another target where that is safe: a
// request that must not run twice is sent again only if the target said that it
// did not run it, or if it never left. Attempts beyond the first draw on this
// instance's share of the fleet's budget.
//
// A request ends at its route's timeout or its client's deadline, whichever is
// first, and at once when its client leaves. The status 503 is given only to
// requests of which nothing has run.
package forwarder
