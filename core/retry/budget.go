package retry

import "sync/atomic"

const (
	// CallsPerRetry is the number of calls that earn one retry.
	CallsPerRetry = 10
	// BurstRetries is the capacity of the budget in retries. It limits the burst of retries
	// at the start of a failure that follows an hour without failures.
	BurstRetries = 20
	// initialRetries is the initial content of the budget, so that the first calls of a
	// daemon can be retried.
	initialRetries = 2
)

// Budget is a token bucket that limits the retries of one daemon: calls add tokens and retries
// consume them. It is safe for concurrent use.
type Budget struct {
	// tokens is the content of the bucket: each call adds one token, each retry consumes
	// CallsPerRetry.
	tokens atomic.Int64
}

// NewBudget returns a budget for the calls of one daemon.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(initialRetries * CallsPerRetry)
	return b
}

// RecordCall adds the token for a call. It is called once per call, at the first attempt.
func (b *Budget) RecordCall() {
	for {
		tokens := b.tokens.Load()
		if tokens >= BurstRetries*CallsPerRetry || b.tokens.CompareAndSwap(tokens, tokens+1) {
			return
		}
	}
}

// Retries returns the number of retries that the budget currently allows.
func (b *Budget) Retries() int { return int(b.tokens.Load() / CallsPerRetry) }

// takeRetry consumes one retry and reports whether the budget allowed it.
func (b *Budget) takeRetry() bool {
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
