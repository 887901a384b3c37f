package retry

// Budget limits retries in proportion to requests. It is a token bucket that is
// refilled by requests instead of time. It is not safe for concurrent use.
type Budget struct {
	ratio  float64 // tokens added by one request
	burst  float64 // maximum of tokens
	tokens float64 // retries allowed now
}

// NewBudget returns a full budget: of n requests, at most ratio*n + burst are
// retried. It panics unless both are positive.
func NewBudget(ratio, burst float64) *Budget {
	if ratio <= 0 || burst <= 0 {
		panic("retry: ratio and burst must be positive")
	}
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit adds the tokens for one request.
func (b *Budget) Deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Withdraw takes the token for one retry and reports whether the budget allows it.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
