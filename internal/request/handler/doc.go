// Package handler carries one request from its arrival to its answer: it takes
// room at a target, sends, tries again where that is safe, and says what is
// known about the request's effect.
//
// Exactly one of three outcomes is told: done with the target's whole answer,
// unrun when nothing of the request can have taken effect, or unknown.
package handler
