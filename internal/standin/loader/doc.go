// Package loader implements the caller stand-ins. A caller looks up the addresses
// for a request kind at an instance, caches them for the lifetime that the instance
// names, sends its requests to these addresses, repeats attempts as the responses
// allow, and checks every response body.
//
// The load is an open loop: requests start at seeded times whether or not earlier
// ones have finished. The latency of a request counts from its scheduled time.
package loader
