// Package syncer keeps an instance's copy of the platform's data current with
// few calls to the platform.
//
// In each availability zone one instance reads: the first one in an order that
// all agree on. With every answer it vouches for its copy to the others of the
// zone, which fetch from it what they lack. An instance that nobody has vouched
// to for some time reads by itself, those that come first in the order earlier
// than the others, and stops when one before it vouches again. So a reader that
// is killed, paused or cut off from the platform is replaced within a second,
// without an election and whatever the instances believe of each other.
package syncer
