package retry

import "sync/atomic"

const (
	// CallsPerRetry sets the budget: one retry for ten calls.
	CallsPerRetry = 10
	// BurstRetries bounds the retries that can be saved up, so that a fault after a
	// quiet hour does not start with a burst.
	BurstRetries = 20
	// initialRetries lets the first calls of a daemon be retried.
	initialRetries = 2
)

// Budget is a token bucket that calls fill and retries empty. It is safe for
// concurrent use.
type Budget struct {
	// tokens are tenths of a retry: each call adds one, each retry takes CallsPerRetry.
	tokens atomic.Int64
}

// NewBudget returns a budget for the calls of one daemon.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(initialRetries * CallsPerRetry)
	return b
}

// Call counts the first attempt of a call.
func (b *Budget) Call() {
	for {
		tokens := b.tokens.Load()
		if tokens >= BurstRetries*CallsPerRetry || b.tokens.CompareAndSwap(tokens, tokens+1) {
			return
		}
	}
}

// Retries returns the number of retries that the budget holds.
func (b *Budget) Retries() int { return int(b.tokens.Load() / CallsPerRetry) }

func (b *Budget) take() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < CallsPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-CallsPerRetry) {
			return true
		}
	}
}
