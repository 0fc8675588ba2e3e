// Package commander holds the verbs of the oriolecourse command, most of them in a file
// of their own.
//
// A verb that has options declares them in a table. Each option can be set by a flag or
// by an environment variable.
package commander
