// Package publisher stands in for the platform: it publishes the settings tree
// and the list of instances and targets, and counts the calls of its readers.
//
// Readers cannot write; tests and scripts publish through the /admin routes and
// bring on faults by name.
package publisher
