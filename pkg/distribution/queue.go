package distribution

import (
	"errors"
	"sync"

	"mangoshed.example/mangoshed/core/dissemination"
)

// maxQueuedBytes bounds the frames that wait for the core: a complete table of the
// design size from several peers at once.
const maxQueuedBytes = 16 << 20

// errQueueFull ends the links of peers whose frames the core cannot keep up with.
var errQueueFull = errors.New("the event queue is full")

// queue collects events for the core. Putting never blocks, because the links' goroutines
// and the core's would otherwise wait for each other.
type queue struct {
	signal chan struct{} // holds one token while events wait

	mu     sync.Mutex
	events []dissemination.Event
	bytes  int
}

func newQueue() *queue { return &queue{signal: make(chan struct{}, 1)} }

// put appends an event of the given size. It returns false if that would exceed the
// bound; events without a size always fit.
func (q *queue) put(e dissemination.Event, size int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if size > 0 && q.bytes+size > maxQueuedBytes {
		return false
	}
	q.events = append(q.events, e)
	q.bytes += size
	select {
	case q.signal <- struct{}{}:
	default:
	}
	return true
}

// take returns all waiting events in order.
func (q *queue) take() []dissemination.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events, q.bytes = nil, 0
	return events
}
