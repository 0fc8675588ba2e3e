// Package retrier decides whether a request may be tried again and whether a
// slow one may be hedged by a second try.
//
// Both draw from budgets that first tries fill by a ratio, so that second tries
// cannot amplify an overload. A kind that runs at most once is tried again only
// when the first try provably did not run, and is never hedged.
package retrier
