// Package commander is the command line of the stand-ins: one verb for each.
package commander
