// Package generator makes and checks the bodies that the stand-in targets send,
// so that a caller can tell a cut or a crossed answer from its own whole one.
package generator
