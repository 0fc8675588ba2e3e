// Package mutator builds the program with some lines replaced, so that tests can show
// that they catch a build that breaks its promise. The program itself has no seam for
// it: the compiler takes the edited files in place of those in the tree.
package mutator
