// Package shrinker gives sockets small buffers, so that a peer that does not read soon blocks the
// other side.
package shrinker
