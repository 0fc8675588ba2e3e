// Package publisher implements the platform stand-in. It publishes the settings
// tree and the list of instances and targets as documents, and counts the read
// calls.
//
// Readers call only the /v1 routes, which do not change anything. Tests and scripts
// publish through the /admin routes and switch faults through /fault/<name>.
package publisher
