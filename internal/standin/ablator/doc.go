// Package ablator prepares builds of the program that lack one mechanism of the decisions, so
// that plays with and without it show what the mechanism is worth (ablation).
//
// A mechanism is switched off by edits of the source, so the program needs no setting for it.
package ablator
