package exchange

import "sync"

// Budget bounds the bytes of the answers that all its clients hold at once. When an answer needs
// more than is left, the largest one that is still arriving is given up: one without end grows
// until it is the largest, and small ones pass beside it. It is safe for concurrent use.
type Budget struct {
	over BoundError

	// beside returns the bytes that the limit is reduced by; nil for none.
	beside func() int64

	mu sync.Mutex
	// freed is signalled when bytes come back and when an answer is given up.
	freed    *sync.Cond
	held     int64
	arriving map[*share]bool
}

// NewBudget returns a budget of so many bytes; the remedy tells how to get a larger one.
func NewBudget(limit int64, remedy string) *Budget {
	b := &Budget{
		over:     BoundError{Limit: limit, What: "bytes of answers held at once", Remedy: remedy},
		arriving: make(map[*share]bool),
	}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// Beside sets a function that returns the bytes by which other use of the memory reduces the limit. It must be set
// before the budget is used, and must not use the budget.
func (b *Budget) Beside(bytes func() int64) { b.beside = bytes }

// Reduced returns the bytes by which the limit is reduced now.
func (b *Budget) Reduced() int64 {
	if b.beside == nil {
		return 0
	}
	return b.beside()
}

// limit returns the bytes that may be held now.
func (b *Budget) limit() int64 { return b.over.Limit - b.Reduced() }

// Limit returns the bytes that may be held.
func (b *Budget) Limit() int64 { return b.over.Limit }

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// share is what one answer holds of a budget.
type share struct {
	budget *Budget // nil without a bound
	bytes  int64
	// givenUp says that the answer has to make room; abort ends its reads.
	givenUp bool
	abort   func()
}

// open returns the empty share of an answer that begins to arrive.
func (b *Budget) open(abort func()) *share {
	s := &share{budget: b, abort: abort}
	if b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.arriving[s] = true
	}
	return s
}

// take adds bytes to the share. It waits for answers that are given up in its favour, which
// takes no longer than their next read.
func (s *share) take(n int64) error {
	b := s.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for !s.givenUp && b.held+n > b.limit() {
		if b.held+n-b.leaving() > b.limit() && !b.giveUpLargest(s, n) {
			return &b.over
		}
		b.freed.Wait()
	}
	if s.givenUp {
		return &b.over
	}
	b.held += n
	s.bytes += n
	return nil
}

// leaving returns the bytes of answers that have been given up and have not left yet. The caller
// holds the mutex.
func (b *Budget) leaving() int64 {
	var n int64
	for s := range b.arriving {
		if s.givenUp {
			n += s.bytes
		}
	}
	return n
}

// giveUpLargest gives up the largest arriving answer; false if that is the one that asks for more.
// The caller holds the mutex.
func (b *Budget) giveUpLargest(asking *share, more int64) bool {
	largest, size := asking, asking.bytes+more
	for s := range b.arriving {
		if s != asking && !s.givenUp && s.bytes > size {
			largest, size = s, s.bytes
		}
	}
	if largest == asking {
		return false
	}
	largest.givenUp = true
	largest.abort()
	b.freed.Broadcast()
	return true
}

// give returns a part of the share.
func (s *share) give(n int64) {
	if b := s.budget; b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.bytes -= n
		b.held -= n
		b.freed.Broadcast()
	}
}

// arrived says that the answer is whole; it is not given up any more. The error says that it was.
func (s *share) arrived() error {
	b := s.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.givenUp {
		return &b.over
	}
	delete(b.arriving, s)
	return nil
}

// gaveUp returns the reason if the answer was given up, else the error.
func (s *share) gaveUp(err error) error {
	b := s.budget
	if b == nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.givenUp {
		return &b.over
	}
	return err
}

// release returns the whole share. It may be called more than once.
func (s *share) release() {
	b := s.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, s)
	b.held -= s.bytes
	s.bytes = 0
	b.freed.Broadcast()
}
