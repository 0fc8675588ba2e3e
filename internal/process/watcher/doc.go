// Package watcher reads the platform's settings and list with few calls.
//
// A few readers, elected by rendezvous hashing among the live instances, keep a
// waiting watch. All others read now and then, the more rarely the larger the
// fleet, which covers readers that cannot reach the platform. What is read goes
// to the adopters and from there to peers.
package watcher
