// Package forwarder handles client requests: it sends each one to a target and
// returns the response.
//
// The forwarder finds the route of a request, and the placer of the route's
// service chooses a target. A request that fails there is retried at another
// target if that is safe: a non-idempotent request is retried only if the target
// reported that it did not run the request, or if the request was not sent. All
// attempts after the first, hedged requests included, draw on this instance's
// share of the fleet's retry budget, unless the previous attempt was not sent.
//
// An outcome is the way in which a request ended. Logs and metrics name it.
//
// A request ends at its deadline, which is the route's timeout or the client's
// deadline, whichever is earlier. It ends at once when its client disconnects. The
// forwarder itself responds with status 503 only if no target ran the request.
package forwarder
