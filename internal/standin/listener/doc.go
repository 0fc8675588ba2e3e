// Package listener runs the HTTP server of a stand-in.
//
// Every stand-in prints its address and writes it to a file on request, so that
// scripts and tests can start it on a free port and wait until it listens.
package listener
