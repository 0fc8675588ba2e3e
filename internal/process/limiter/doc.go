// Package limiter tracks the limits that targets name: the number of requests per second
// that a target takes from all instances together, for as long as its responses say so.
package limiter
