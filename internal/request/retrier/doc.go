// Package retrier decides whether a request may be retried and whether a slow
// request may be hedged, that is, copied to a second target.
//
// Retries and hedges draw tokens from two budgets. Each first attempt adds a
// fraction of a token, so that additional attempts cannot amplify an overload. A
// request of a kind that runs at most once is retried only if the target provably
// did not execute it, and is never hedged.
package retrier
