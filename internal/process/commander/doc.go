// Package commander holds the verbs of the oriolecourse command, one file each.
//
// Every verb reads its settings from flags and environment variables, which one
// table of options describes.
package commander
