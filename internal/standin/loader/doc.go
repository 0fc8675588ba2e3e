// Package loader stands in for the callers: they ask instances for addresses,
// keep the answer for a while, connect there themselves, try again as they are
// told, and check every body.
//
// The load is an open loop: requests start at seeded times whether or not
// earlier ones have been answered, and latency counts from that time.
package loader
