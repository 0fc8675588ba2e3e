// Package admitter answers one question: may a target take this now, and if not, when?
//
// What a target says of itself, and what the owner of its permits answers, ends here as the
// state of one run: limited, closed until the next permit. The code that chooses targets
// asks and knows none of these cases.
package admitter
