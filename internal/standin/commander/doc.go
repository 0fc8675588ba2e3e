// Package commander implements the command line of the stand-ins.
//
// It has one command for each stand-in, and commands for the tools that evaluate loads,
// compare ways to place requests and make single HTTP calls.
package commander
