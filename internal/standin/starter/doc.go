// Package starter starts the programs of the repository as separate processes
// for tests, and kills, pauses and stops them.
//
// Only tests import it; the programs themselves start no process.
package starter
