// Package commander implements the subcommands of oriolecourse.
//
// A subcommand declares its options in a table. Each option in a table can be set by a
// flag or by an environment variable. Only the flag --around of trace is in no table and
// has no environment variable.
package commander
