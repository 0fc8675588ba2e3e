package retrier

import "sync/atomic"

const (
	// token is one second try in the budget's unit.
	token = 1000
	// MaxTokens bounds the tokens that a budget saves up, and is what it holds at
	// the start.
	MaxTokens = 10
)

// Budget holds tokens for second tries. First tries deposit a ratio of a token
// each; it may be used concurrently.
type Budget struct {
	// tokens is between 0 and Reserve tokens.
	tokens atomic.Int64
}

// NewBudget returns a full Budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(MaxTokens * token)
	return b
}

// Deposit adds a ratio of a token for a first try.
func (b *Budget) Deposit(ratio float64) {
	amount := int64(ratio * token)
	for amount > 0 {
		n := b.tokens.Load()
		if n >= MaxTokens*token || b.tokens.CompareAndSwap(n, min(MaxTokens*token, n+amount)) {
			return
		}
	}
}

// Take takes one token if there is one.
func (b *Budget) Take() bool {
	for {
		n := b.tokens.Load()
		if n < token {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-token) {
			return true
		}
	}
}

// Return puts back a token that was not used.
func (b *Budget) Return() { b.tokens.Add(token) }

// Tokens returns the whole tokens left.
func (b *Budget) Tokens() int { return int(b.tokens.Load() / token) }
