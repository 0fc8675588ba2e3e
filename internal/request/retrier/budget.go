package retrier

import "sync/atomic"

const (
	// tokenUnits is the number of budget units in a token. A token pays for one
	// additional attempt.
	tokenUnits = 1000
	// MaxTokens is the number of tokens in a full budget. A new budget is full.
	MaxTokens = 10
)

// Budget holds tokens for additional attempts. Each first attempt deposits a
// fraction of a token. A Budget is safe for concurrent use.
type Budget struct {
	// units is the content in 1/tokenUnits of a token. Deposit stops at MaxTokens;
	// Return can exceed it by the returned tokens.
	units atomic.Int64
}

// NewBudget returns a full Budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.units.Store(MaxTokens * tokenUnits)
	return b
}

// Deposit adds a fraction of a token for a first attempt. It adds nothing beyond
// MaxTokens.
func (b *Budget) Deposit(ratio float64) {
	amount := int64(ratio * tokenUnits)
	for amount > 0 {
		n := b.units.Load()
		if n >= MaxTokens*tokenUnits || b.units.CompareAndSwap(n, min(MaxTokens*tokenUnits, n+amount)) {
			return
		}
	}
}

// Take removes one token and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		n := b.units.Load()
		if n < tokenUnits {
			return false
		}
		if b.units.CompareAndSwap(n, n-tokenUnits) {
			return true
		}
	}
}

// Return puts back an unused token.
func (b *Budget) Return() { b.units.Add(tokenUnits) }

// Tokens returns the number of whole tokens left.
func (b *Budget) Tokens() int { return int(b.units.Load() / tokenUnits) }
