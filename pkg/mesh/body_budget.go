package mesh

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// bodyMemoryShare is the share of the memory limit that the bodies of all requests together may use: the
	// smallest machines have 184 MB, and a single body of 64 MB has to fit.
	bodyMemoryShare = 0.35
	// bufferMemoryShare is the share that bodies and buffered responses together may use, with the old
	// buffers of bodies that are being copied to larger ones.
	bufferMemoryShare = 0.6
	// smallBodyMemoryShare is added to bodyMemoryShare for bodies of at most smallBodyBytes, so that large ones
	// do not cause the refusal of small ones.
	smallBodyMemoryShare = 0.03
	smallBodyBytes       = 64 << 10
	// defaultBodyBudget is the budget in bytes if the settings set no memory limit.
	defaultBodyBudget = 512 << 20
	// trustedBodyBytes is the size of a body that is allocated before it arrives. Of a longer one this much has
	// to arrive first, so that an announced length alone holds no more.
	trustedBodyBytes = 1 << 20
	// A body of which less than bodyStallBytes has arrived within bodyStallTime counts as stalled: it is given
	// up if another body needs its memory.
	bodyStallTime  = 500 * time.Millisecond
	bodyStallBytes = 64 << 10
	// bodyGarbageShare is the share of the memory limit that unused large buffers of bodies may take before they
	// are collected: with the runtime's pacing alone, six growing bodies took a daemon of 128 MB to 124 MB.
	bodyGarbageShare = 0.08
	// A request whose head takes more than heavyHeadBytes counts with it: each field costs headFieldBytes in the
	// copies of the head between the caller and the upstream, and its bytes are held headCopies times.
	heavyHeadBytes = 32 << 10
	headFieldBytes = 512
	headCopies     = 3
	// aheadMemoryShare is the share of the memory limit for pipelined requests that run ahead, apart from their responses.
	// Such a request takes aheadRunBytes, an estimate for its stacks and its state, and its head. Without the bound, each
	// connection could hold the memory of many requests.
	aheadMemoryShare = 0.03
	aheadRunBytes    = 16 << 10
	// bodyRetryAfter is the Retry-After of requests whose bodies find no memory.
	bodyRetryAfter = time.Second
)

// bodyBudget bounds the memory for the bodies of requests of callers and of jobs of other daemons. A body that
// finds no memory is refused at once. Bodies that have stalled are given up for others. It is safe for concurrent
// use; a nil budget has no bound.
type bodyBudget struct {
	limit, small, buffers int64
	aheadLimit            int64
	responses             *exchange.Budget

	held, refused, stalled atomic.Int64
	ahead                  atomic.Int64 // held by requests that run ahead

	mu sync.Mutex
	// freed is signalled when a body is released.
	freed    *sync.Cond
	garbage  int64 // bytes of large buffers that are not used any more
	copied   int64 // old buffers of bodies that are being copied to larger ones
	arriving map[*heldBody]struct{}
}

// newBodyBudget returns the budget of a daemon with the limits. Memory of bodies that the budget of the
// responses needs as well is taken off that budget.
func newBodyBudget(l *Limits, responses *exchange.Budget) *bodyBudget {
	b := &bodyBudget{limit: defaultBodyBudget, small: defaultBodyBudget / 16, aheadLimit: defaultBodyBudget / 16, arriving: make(map[*heldBody]struct{})}
	b.freed = sync.NewCond(&b.mu)
	if l.MemoryMB > 0 {
		memory := float64(l.MemoryMB << 20)
		b.limit, b.small = int64(bodyMemoryShare*memory), int64(smallBodyMemoryShare*memory)
		b.aheadLimit = int64(aheadMemoryShare * memory)
		b.buffers, b.responses = int64(bufferMemoryShare*memory), responses
		responses.Beside(func() int64 { return max(0, b.held.Load()-(b.buffers-responses.Limit())) })
	}
	return b
}

// heldBody is the memory that the body of one request holds. Its methods accept nil.
type heldBody struct {
	budget *bodyBudget
	bytes  int64
	head   int64 // what the head of the request takes, if that is much
	// givenUp is set if the body has to make room for others; abort ends its reads. Both are guarded by the
	// budget's mutex.
	givenUp bool
	abort   func()
	// arrived counts the bytes that have arrived, and progress is the time at which the last bodyStallBytes of
	// them had, in Unix nanoseconds.
	arrived, counted int64
	progress         atomic.Int64
}

// headMemory returns the memory that the head of a request takes.
func headMemory(r *http.Request) int64 {
	bytes, fields := headerBytes(r), int64(0)
	for _, values := range r.Header {
		fields += int64(len(values))
	}
	return headCopies*bytes + headFieldBytes*fields
}

// headCost returns the memory that the head of a request takes; 0 if that is little.
func headCost(r *http.Request) int64 {
	if cost := headMemory(r); cost > heavyHeadBytes {
		return cost
	}
	return 0
}

// takeAhead takes the memory of a request that runs ahead, false if there is none left.
func (b *bodyBudget) takeAhead(r *http.Request) (memory int64, ok bool) {
	if b == nil {
		return 0, true
	}
	cost := aheadRunBytes + headMemory(r)
	if b.ahead.Add(cost) > b.aheadLimit {
		b.ahead.Add(-cost)
		return 0, false
	}
	return cost, true
}

// returnAhead returns the memory of a request that ran ahead.
func (b *bodyBudget) returnAhead(memory int64) {
	if b != nil {
		b.ahead.Add(-memory)
	}
}

// takeHead takes the memory of the head of a request.
func (h *heldBody) takeHead(r *http.Request) *refusal.Refusal {
	if h == nil {
		return nil
	}
	cost := headCost(r)
	if cost == 0 {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(0, cost, 0) {
		b.refused.Add(1)
		return noBodyMemory()
	}
	h.head = cost
	b.held.Add(cost)
	return nil
}

// open returns the memory of a body that begins to arrive, or of a heavy head; nil if the request has neither.
func (b *bodyBudget) open(w http.ResponseWriter, r *http.Request) *heldBody {
	if b == nil || r.ContentLength == 0 && headCost(r) == 0 {
		return nil
	}
	h := &heldBody{budget: b, abort: func() { setReadDeadline(w, time.Unix(1, 0)) }}
	h.progress.Store(time.Now().UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving[h] = struct{}{}
	return h
}

// noBodyMemory returns the refusal of a body that finds no memory.
func noBodyMemory() *refusal.Refusal {
	return notRun(refusal.Overloaded, "other requests use the memory that the daemon has for their bodies and large headers; retry, or raise limits.memory_mb", bodyRetryAfter)
}

// jobRefusal returns the refusal of a job for one of its body. A body that is larger than the memory of this
// daemon may fit into that of another one.
func jobRefusal(refused *refusal.Refusal) *refusal.Refusal {
	if refused != nil && refused.Kind == refusal.TooLarge {
		return noBodyMemory()
	}
	return refused
}

// limitFor returns the limit of what is held beside a body of the given size.
func (b *bodyBudget) limitFor(size int64) int64 {
	if size <= smallBodyBytes {
		return b.limit + b.small
	}
	return b.limit
}

// fits reports whether a body of so many bytes finds memory now. The caller holds the mutex.
func (b *bodyBudget) fits(size, more, leaving int64) bool {
	held := b.held.Load() - leaving
	if held+more > b.limitFor(size) {
		return false
	}
	return size <= smallBodyBytes || b.buffers == 0 || held+more+b.copied+b.responses.Held() <= b.buffers
}

// announced returns the refusal of a body of the announced length, nil if it may arrive. Nothing is held for it yet.
func (h *heldBody) announced(length int64) *refusal.Refusal {
	if h == nil || length <= 0 {
		return nil
	}
	b := h.budget
	if length > b.limit {
		b.refused.Add(1)
		return bodyTooLarge(b.limit)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, stalled := time.Now(), int64(0)
	for other := range b.arriving {
		if other != h && other.stalledFor(now) > bodyStallTime {
			stalled += other.bytes
		}
	}
	if !b.fits(length, length, stalled) {
		b.refused.Add(1)
		return noBodyMemory()
	}
	return nil
}

// grow takes memory for a buffer of the given size, beside the present one, which done returns. It waits for
// bodies that are given up, which takes no longer than the end of their present read.
func (h *heldBody) grow(size int64) (done func(), refused *refusal.Refusal) {
	if h == nil {
		return func() {}, nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	old := h.bytes
	if size > b.limit {
		b.refused.Add(1)
		return nil, bodyTooLarge(b.limit)
	}
	b.copied += old
	for !h.givenUp && !b.fits(size, size-old, 0) {
		if !b.fits(size, size-old, b.leaving()) && !b.giveUpStalled(h) {
			b.copied -= old
			b.refused.Add(1)
			return nil, noBodyMemory()
		}
		b.freed.Wait()
	}
	if h.givenUp {
		b.copied -= old
		return nil, noBodyMemory()
	}
	h.bytes = size
	b.held.Add(size - old)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.copied -= old
		b.discard(old)
	}, nil
}

// discard counts a buffer that is not used any more. The caller holds the mutex.
func (b *bodyBudget) discard(bytes int64) {
	if bytes >= trustedBodyBytes {
		b.garbage += bytes
	}
}

// collect frees the memory of unused buffers before a large one is allocated if they are many.
func (h *heldBody) collect(size int64) {
	if h == nil || size < trustedBodyBytes || h.budget.buffers == 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	many := float64(b.garbage) > bodyGarbageShare/bufferMemoryShare*float64(b.buffers)
	if many {
		b.garbage = 0
	}
	b.mu.Unlock()
	if many {
		runtime.GC()
	}
}

// leaving returns the memory of bodies that were given up and are not released yet. The caller holds the mutex.
func (b *bodyBudget) leaving() int64 {
	var n int64
	for h := range b.arriving {
		if h.givenUp {
			n += h.bytes + h.head
		}
	}
	return n
}

// giveUpStalled gives up the body that has stalled for longest; false if none has. The caller holds the mutex.
func (b *bodyBudget) giveUpStalled(asking *heldBody) bool {
	var victim *heldBody
	now, longest := time.Now(), bodyStallTime
	for h := range b.arriving {
		if stalled := h.stalledFor(now); h != asking && !h.givenUp && h.bytes > 0 && stalled > longest {
			victim, longest = h, stalled
		}
	}
	if victim == nil {
		return false
	}
	victim.givenUp = true
	victim.abort()
	b.stalled.Add(1)
	b.freed.Broadcast()
	return true
}

// stalledFor returns the time since the body has made progress.
func (h *heldBody) stalledFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.progress.Load())
}

// read counts bytes that have arrived.
func (h *heldBody) read(n int) {
	if h == nil {
		return
	}
	h.arrived += int64(n)
	if h.arrived-h.counted >= bodyStallBytes {
		h.counted = h.arrived
		h.progress.Store(time.Now().UnixNano())
	}
}

// complete marks the body as whole: it is not given up any more. It returns the refusal if it has been.
func (h *heldBody) complete() *refusal.Refusal {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.givenUp {
		return noBodyMemory()
	}
	delete(b.arriving, h)
	return nil
}

// wasGivenUp reports whether the body had to make room for others.
func (h *heldBody) wasGivenUp() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.givenUp
}

// release returns the memory. It may be called more than once.
func (h *heldBody) release() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, h)
	b.held.Add(-h.bytes - h.head)
	b.discard(h.bytes)
	h.bytes, h.head = 0, 0
	b.freed.Broadcast()
}

// readAll reads the body of a request, of at most limit bytes, into memory that it takes from the budget. The
// error is a refusal, or that of the connection.
func (h *heldBody) readAll(r *http.Request, limit int64) ([]byte, error) {
	length := r.ContentLength
	if refused := h.announced(length); refused != nil {
		return nil, refused
	}
	size := int64(bodyBufferBytes)
	if length > 0 {
		size, limit = min(length, trustedBodyBytes), length
	}
	var buffer []byte
	for {
		done, refused := h.grow(size)
		if refused != nil {
			return nil, refused
		}
		h.collect(size)
		buffer = append(make([]byte, 0, size), buffer...)
		done()
		end, err := h.fill(&buffer, r.Body)
		switch {
		case err != nil:
			return nil, err
		case end && length > 0 && int64(len(buffer)) < length:
			return nil, io.ErrUnexpectedEOF
		case end, int64(len(buffer)) == length:
			return buffer, refusalError(h.complete())
		case size == limit:
			return h.atLimit(r, buffer, limit)
		case length > 0:
			size = length
		default:
			size = min(2*size, limit)
		}
	}
}

// refusalError returns a refusal as an error, nil for none.
func refusalError(refused *refusal.Refusal) error {
	if refused == nil {
		return nil
	}
	return refused
}

// fill reads until the buffer is full or the body ends.
func (h *heldBody) fill(buffer *[]byte, body io.Reader) (end bool, err error) {
	for b := *buffer; len(b) < cap(b); {
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		*buffer = b
		h.read(n)
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// atLimit returns a body of unknown length that has as many bytes as the limit allows, if it ends there.
func (h *heldBody) atLimit(r *http.Request, buffer []byte, limit int64) ([]byte, error) {
	for {
		n, err := r.Body.Read(make([]byte, 1))
		switch {
		case n > 0:
			return nil, bodyTooLarge(limit)
		case errors.Is(err, io.EOF):
			return buffer, refusalError(h.complete())
		case err != nil:
			return nil, err
		}
	}
}

// logChanges logs the numbers of bodies that were refused and given up since the last call.
func (b *bodyBudget) logChanges(log *zap.Logger, refused, stalled *int64) {
	r, s := b.refused.Load(), b.stalled.Load()
	if r != *refused || s != *stalled {
		log.Warn("bodies_refused", zap.Int64("refused", r-*refused), zap.Int64("stalled", s-*stalled), zap.Int64("held", b.held.Load()), zap.Int64("limit", b.limit))
	}
	*refused, *stalled = r, s
}
