package closing

import (
	"bytes"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// firstHeadBytes of a request's head are not counted towards Bounds.HeldHeads: ordinary heads are smaller.
	firstHeadBytes = 4 << 10
	// evictionDivisor is the divisor of Bounds.Open for the number of connections that are closed at once when a
	// new one arrives at the limit, so that the search for them is not repeated for each new connection.
	evictionDivisor = 64
	// aheadDivisor is the divisor of Bounds.HeldHeads for bytes that are read ahead: the rest is left for heads that
	// are arriving, which are refused beyond the bound, while a request that is not read ahead only waits.
	aheadDivisor = 2
	// blockedWriteTime is the time after which a connection whose peer does not read counts as waiting for the peer.
	blockedWriteTime = time.Second
)

// Bounds limit what the peers of a server may use. A zero field sets no limit.
type Bounds struct {
	// Open is the number of open connections. Beyond it, those that have waited longest for their peers are closed.
	Open int
	// HeadFields is the number of lines of the head of a request, and HeldHeads the number of bytes of all heads
	// that are arriving together, without the first 4 kB of each. What is read ahead on a connection counts like a head,
	// and takes no more than half of HeldHeads.
	HeadFields int
	HeldHeads  int64
}

// Timeouts limit the time that a server waits for its peers, and the size of the heads of requests. They may
// change while connections are open. A zero field sets no limit.
type Timeouts struct {
	// Idle is the time until the first byte of a request, and Head the time from there to the end of its head.
	Idle, Head time.Duration
	// HeadBytes is the number of bytes of a head.
	HeadBytes int64
}

// Counts are the numbers of connections that a server has closed because of its bounds.
type Counts struct {
	// Evicted were closed at the limit of open connections, and Refused were new ones for which none could be.
	Evicted, Refused atomic.Int64
	// IdleTimeouts and HeadTimeouts were closed because of Timeouts, and LargeHeads because of the size of a head.
	IdleTimeouts, HeadTimeouts, LargeHeads atomic.Int64
}

// errHead is the error of a read of a head that exceeds a bound.
var errHead = errors.New("the head of the request exceeds the limits of its number of fields or its size")

// waiting is what a connection waits for. The connection's mutex guards it.
type waiting struct {
	// since is the time since which the connection waits for its peer: for the first byte of a request, since it was
	// opened or has become idle; for the rest of a head, since its first byte; for a body, since the last byte read.
	since time.Time
	// request is set from the end of a head to the end of its response, body while its body is awaited.
	request, body bool
	// writing is the time at which the present write began.
	writing time.Time
	// headBytes and headLines count what has been read of a head, and held is the part of Bounds.HeldHeads.
	headBytes, held int64
	headLines       int
	// closed is set when the server has closed the connection because of its bounds or timeouts, evicted if it
	// did at the limit of open connections. left is set once the connection does not count towards that limit.
	closed, evicted, left bool
}

// AwaitBody records whether the handler of a request awaits the rest of its body from the connection, which has to be
// one that a Server accepted. The record ends with the request.
func AwaitBody(c net.Conn, awaits bool) {
	if c, ok := c.(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wait.body, c.wait.since = awaits, time.Now()
	}
}

// SetTimeouts replaces the timeouts, which apply to open connections as well.
func (s *Server) SetTimeouts(t Timeouts) { s.timeouts.Store(&t) }

// setState records a state of the HTTP server.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	switch state {
	case http.StateNew:
		c.wait.since = c.accepted
	case http.StateIdle:
		c.wait.since, c.wait.request, c.wait.body = time.Now(), false, false
	default:
		c.wait.request = true // its head has been read, or the connection ends
	}
}

// releaseHead ends the count of a head. The caller holds the mutex.
func (c *conn) releaseHead() {
	if c.wait.held > 0 {
		c.server.heads.Add(-c.wait.held)
	}
	c.wait.headBytes, c.wait.headLines, c.wait.held = 0, 0, 0
}

// beforeRead returns an error if the head that is being read exceeds a bound. What has been read so far belongs to the
// head, because the server reads on. The caller holds the mutex.
func (c *conn) beforeRead() error {
	s, w := c.server, &c.wait
	if s == nil || w.request || w.headBytes == 0 {
		return nil
	}
	if s.headOverBound(w.headLines, w.headBytes) || w.held > 0 && s.Bounds.HeldHeads > 0 && s.heads.Load() > s.Bounds.HeldHeads {
		if !w.closed {
			w.closed = true
			s.Counts.LargeHeads.Add(1)
		}
		return errHead
	}
	return nil
}

// headOverBound reports whether a head of so many lines and bytes exceeds the bounds of one head.
func (s *Server) headOverBound(lines int, size int64) bool {
	if fields := s.Bounds.HeadFields; fields > 0 && lines > fields {
		return true
	}
	t := s.timeouts.Load()
	return t != nil && t.HeadBytes > 0 && size > t.HeadBytes
}

// headOverBound reports whether a head that was read ahead exceeds the bounds of one head.
func (c *conn) headOverBound(head []byte) bool {
	return c.server != nil && c.server.headOverBound(bytes.Count(head, []byte{'\n'}), int64(len(head)))
}

// countAhead counts the bytes that are read ahead, without the first 4 kB, towards Bounds.HeldHeads. The caller holds the
// mutex.
func (c *conn) countAhead() {
	if c.server == nil || c.ahead == nil {
		return
	}
	if more := max(0, int64(len(c.ahead.buffer))-firstHeadBytes) - c.ahead.counted; more != 0 {
		c.ahead.counted += more
		c.server.heads.Add(more)
	}
}

// aheadRoom returns the number of bytes that may be read ahead within Bounds.HeldHeads. The first 4 kB of each
// connection are free. The caller holds the mutex.
func (c *conn) aheadRoom() int {
	if c.server == nil || c.server.Bounds.HeldHeads <= 0 {
		return math.MaxInt
	}
	s := c.server
	return int(max(firstHeadBytes-int64(c.buffered()), s.Bounds.HeldHeads/aheadDivisor-s.heads.Load()))
}

// received reports whether the server has bytes of the peer that it has not handled yet: some that were read ahead, or a
// whole head that net/http has not reported. The peer is not late then. The caller holds the mutex.
func (c *conn) received() bool {
	return c.buffered() > 0 || c.pipelining != nil && c.position == between && c.wait.headBytes > 0
}

// afterRead counts bytes that were passed to net/http. The caller holds the mutex.
func (c *conn) afterRead(p []byte) {
	w := &c.wait
	switch {
	case len(p) == 0 || c.server == nil:
	case w.body:
		w.since = time.Now()
	case !w.request:
		if w.headBytes == 0 {
			w.since = time.Now()
		}
		w.headBytes += int64(len(p))
		w.headLines += bytes.Count(p, []byte{'\n'})
		if more := w.headBytes - firstHeadBytes - w.held; more > 0 {
			w.held += more
			c.server.heads.Add(more)
		}
	}
}

// Write records that a write is in progress, and how it ends.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	n, err := c.socket.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait.writing, c.written = time.Time{}, time.Now()
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait.writing = since
}

// waitsSince returns the time since which the connection waits for its peer, false if it does not.
func (c *conn) waitsSince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.wait
	switch {
	case w.closed:
		return time.Time{}, false
	case !w.request || w.body:
		return w.since, !c.received()
	}
	return w.writing, !w.writing.IsZero() && now.Sub(w.writing) > blockedWriteTime
}

// admit makes room for a new connection; false if there is none.
func (s *Server) admit() bool {
	if s == nil || s.Bounds.Open <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns)-s.left < s.Bounds.Open {
		return true
	}
	type candidate struct {
		conn  *conn
		since time.Time
	}
	now := time.Now()
	var candidates []candidate
	for c := range s.conns {
		if since, ok := c.waitsSince(now); ok {
			candidates = append(candidates, candidate{c, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.since.Compare(b.since) })
	evicted := 0
	for _, c := range candidates {
		if evicted > s.Bounds.Open/evictionDivisor {
			break
		}
		if c.conn.evict(now, s.left < s.lingeringLimit()) {
			s.leave(c.conn)
			evicted++
		}
	}
	s.Counts.Evicted.Add(int64(evicted))
	if evicted == 0 {
		s.Counts.Refused.Add(1)
	}
	return evicted > 0
}

// evict closes the connection unless a request has just arrived on it. If its socket may stay open and a response
// was written of late, the server closes it, so that it lingers; otherwise its descriptor is free at once.
func (c *conn) evict(now time.Time, mayLinger bool) bool {
	if _, ok := c.waitsSince(now); !ok {
		return false
	}
	c.mu.Lock()
	if c.wait.writing.IsZero() && (c.received() || exchange.Unread(c.socket)) {
		c.mu.Unlock()
		return false
	}
	c.wait.closed, c.wait.evicted = true, true
	if mayLinger && now.Sub(c.written) <= lingerStall {
		defer c.mu.Unlock()
		_ = c.SetDeadline(past)
		return true
	}
	c.cut = true
	c.drop()
	c.mu.Unlock()
	_ = c.socket.Close() // waits for a read in progress, which may wait for the mutex
	return true
}

// leave ends the count of a connection towards Bounds.Open. The caller holds the mutex.
func (s *Server) leave(c *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wait.left {
		c.wait.left = true
		s.left++
	}
}

func (c *conn) hasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wait.left
}

// Sweep closes the connections that have waited for their peers for longer than the timeouts. What has arrived and
// has not been read yet keeps a connection open: its peer is not late.
func (s *Server) Sweep(now time.Time) {
	t := s.timeouts.Load()
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfLate(now, t, &s.Counts)
	}
}

// closeIfLate makes the server close the connection if its peer is late.
func (c *conn) closeIfLate(now time.Time, t *Timeouts, counts *Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, count := t.Idle, &counts.IdleTimeouts
	if c.wait.headBytes > 0 {
		limit, count = t.Head, &counts.HeadTimeouts
	}
	if c.wait.request || limit <= 0 || now.Sub(c.wait.since) <= limit || c.received() || exchange.Unread(c.socket) {
		return
	}
	if !c.wait.closed {
		c.wait.closed = true
		count.Add(1)
	}
	_ = c.socket.SetReadDeadline(past) // again on each sweep: the server may have set a new one
}
