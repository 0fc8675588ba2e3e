// Package listener runs the HTTP server of one stand-in.
//
// Every stand-in announces its address in the same way, so that scripts and
// tests can start it on a free port and wait for it.
package listener
