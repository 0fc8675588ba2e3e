// Package starter starts the programs of the repository as separate processes
// for tests, and kills, pauses and stops them.
//
// Only tests import this package; the load balancer itself starts no process.
package starter
