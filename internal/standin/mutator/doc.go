// Package mutator prepares builds of the program with faults in its source, so that tests
// can show that they detect a build that breaks a guarantee (mutation testing).
//
// The edits replace text in copies of source files. The compiler reads the copies instead
// of the files in the tree, so the program needs no code for the faults.
package mutator
