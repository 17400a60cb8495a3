package closing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// Pipelining makes a server read requests ahead on its TCP connections while it handles an earlier
// request, and start them. net/http parses, handles and answers the requests in their order as it does
// without read-ahead; the handler takes the run that was started for its request.
type Pipelining struct {
	// Requests is the number of requests of a connection that may have been started ahead, and Bytes the
	// number of bytes that may have been read ahead.
	Requests, Bytes int
	// Start starts a request without a body. It returns false if the request has to wait for the
	// responses to the requests before it; nothing behind it is started then. Start must not block.
	Start func(c net.Conn, r *http.Request) (Run, bool)
}

// Run is a request that was started ahead.
type Run interface {
	// Drop cancels the run, whose result no handler takes. It must not block.
	Drop()
}

// Pipeline is the read-ahead of one connection. The zero value is that of a connection without
// read-ahead.
type Pipeline struct{ c *conn }

// PipelineOf returns the read-ahead of a connection that a Server has accepted.
func PipelineOf(c net.Conn) Pipeline {
	if c, ok := c.(*conn); ok && c.pipelining != nil {
		return Pipeline{c}
	}
	return Pipeline{}
}

// Take returns the run of the request that is being handled, nil if it was not started ahead. The caller
// is responsible for the run from then on.
func (p Pipeline) Take() Run {
	if p.c == nil {
		return nil
	}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	a := p.c.ahead
	if a == nil {
		return nil
	}
	run := a.current
	a.current = nil
	return run
}

// Admit lets requests behind the one that is being handled start. It is called for a request that has no
// body and was not started ahead. Behind all others, the requests wait for the response.
func (p Pipeline) Admit() {
	if p.c == nil {
		return
	}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.admitted = true
	p.c.startAhead()
}

// Hold lets no further request start ahead and returns the number of those that have been started behind
// the request that is being handled.
func (p Pipeline) Hold() int {
	if p.c == nil {
		return 0
	}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.held = true
	if p.c.ahead == nil {
		return 0
	}
	return len(p.c.ahead.runs)
}

// position is the position in the stream of requests up to which the server has received bytes.
type position uint8

const (
	// between requests: the server has all bytes of the requests that it has begun to read, and nothing
	// of the next one. The only reads of a single byte there are those by which net/http waits for the
	// end of the connection while a handler runs.
	between position = iota
	inHead
	inBody
	// unknown after an unusual request: bytes pass unchanged, and nothing is read ahead.
	unknown
)

// ahead holds what is read ahead on a connection. It is allocated when more than one request has arrived, or
// a part of a head. The fields are guarded by the mutex of the connection.
type ahead struct {
	// buffer holds the bytes that have not been passed to the server: first the heads of the requests
	// in runs, then those of requests that have not been started.
	buffer []byte
	runs   []started
	// current is the run of the request whose head has been passed to the server, until its handler
	// takes it.
	current Run
	// blocked is set if the first request that has not been started has to wait for the responses
	// before it.
	blocked bool
	// head holds what the server has of a head that has not arrived as a whole.
	head []byte
	// counted is the part of Bounds.HeldHeads that the buffer takes.
	counted int64
}

// started is a request that was started ahead.
type started struct {
	run  Run
	size int // of the part of its head that is in the buffer
}

// readAhead returns the state of the read-ahead. The caller holds the mutex.
func (c *conn) readAhead() *ahead {
	if c.ahead == nil {
		c.ahead = &ahead{}
	}
	return c.ahead
}

// buffered returns the number of bytes that were read ahead. The caller holds the mutex.
func (c *conn) buffered() int {
	if c.ahead == nil {
		return 0
	}
	return len(c.ahead.buffer)
}

// passBuffered passes bytes that were read ahead to the server: no more than up to the end of a request.
// There are some. The caller holds the mutex.
func (c *conn) passBuffered(p []byte) int {
	c.idle, c.used = false, true
	a := c.ahead
	if len(a.runs) == 0 {
		n := c.pass(p[:copy(p, a.buffer)])
		c.discardAhead(n)
		return n
	}
	first := &a.runs[0]
	n := copy(p, a.buffer[:first.size])
	c.discardAhead(n)
	first.size -= n
	c.position = inHead
	if first.size == 0 {
		c.position = between
		a.dropCurrent()
		a.current = first.run
		a.runs[0] = started{}
		a.runs = a.runs[1:]
		c.startAhead()
	}
	return n
}

// discardAhead removes bytes from the front of the buffer. The caller holds the mutex.
func (c *conn) discardAhead(n int) {
	a := c.ahead
	a.buffer = a.buffer[n:]
	if len(a.buffer) == 0 {
		a.buffer = nil
	}
	c.countAhead()
}

// keepAhead adds bytes to the buffer, unless the connection has ended. The caller holds the mutex.
func (c *conn) keepAhead(b []byte) {
	if c.ended {
		return
	}
	a := c.readAhead()
	a.buffer = append(a.buffer, b...)
	c.countAhead()
}

// dropCurrent drops a run that the handler has not taken.
func (a *ahead) dropCurrent() {
	if a.current != nil {
		a.current.Drop()
		a.current = nil
	}
}

// pass follows the requests in bytes for the server, and returns how many of them belong to the request
// that begins or continues with them. The caller holds the mutex.
func (c *conn) pass(b []byte) int {
	switch c.position {
	case unknown:
		return len(b)
	case inBody:
		n := min(int64(len(b)), c.bodyLeft)
		c.leaveBody(n)
		return int(n)
	}
	head := b
	if c.position == inHead {
		c.ahead.head = append(c.ahead.head, b...)
		head = c.ahead.head
	}
	m, state := scanHead(head)
	switch {
	case state == headUnusual, state == headPartial && len(head) > c.pipelining.Bytes:
		c.position = unknown
		if c.ahead != nil {
			c.ahead.head = nil
		}
		return len(b)
	case state == headPartial:
		if c.position == between {
			c.position = inHead
			c.readAhead().head = bytes.Clone(b)
		}
		return len(b)
	}
	n := m.size - (len(head) - len(b))
	c.admitted, c.bodyLeft = false, m.body
	c.held = c.held || m.last
	if c.ahead != nil {
		c.ahead.blocked, c.ahead.head = false, nil
		c.ahead.dropCurrent()
	}
	body := min(int64(len(b)-n), m.body)
	c.leaveBody(body)
	return n + int(body)
}

// leaveBody records that the server has so many further bytes of the body.
func (c *conn) leaveBody(n int64) {
	c.bodyLeft -= n
	c.position = between
	if c.bodyLeft > 0 {
		c.position = inBody
	}
}

// passRead follows bytes that were read from the socket into the server's buffer. It keeps those of
// later requests and returns the number of the others. The caller holds the mutex.
func (c *conn) passRead(b []byte) int {
	n := c.pass(b)
	if n < len(b) {
		c.keepAhead(b[n:])
	}
	return n
}

// startAhead starts requests in the buffer. The caller holds the mutex.
func (c *conn) startAhead() {
	a := c.ahead
	if a == nil || !c.admitted {
		return
	}
	begun := 0
	for _, s := range a.runs {
		begun += s.size
	}
	for !c.held && !c.wait.closed && c.position == between && !a.blocked && len(a.runs) < c.pipelining.Requests {
		m, state := scanHead(a.buffer[begun:])
		if state == headPartial {
			a.blocked = c.headOverBound(a.buffer[begun:]) // it is refused in its turn and need not be scanned again
			return
		}
		run, ok := c.start(a.buffer[begun:], m, state)
		if !ok {
			a.blocked = true
			return
		}
		a.runs = append(a.runs, started{run, m.size})
		a.blocked = m.last
		begun += m.size
	}
}

// start starts the request that the bytes begin with, unless it has to wait.
func (c *conn) start(b []byte, m message, state headState) (Run, bool) {
	if state != headWhole || m.body > 0 || c.headOverBound(b[:m.size]) || !wellFormed(b[:m.size]) {
		return nil, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b[:m.size])))
	if err != nil {
		return nil, false
	}
	r.RemoteAddr = c.RemoteAddr().String()
	return c.pipelining.Start(c, r)
}

// drop ends the connection for the server: it drops all runs that have not been taken, and the server gets no
// further bytes. The caller holds the mutex.
func (c *conn) drop() {
	c.held, c.ended = true, true
	a := c.ahead
	if a == nil {
		return
	}
	a.dropCurrent()
	for _, s := range a.runs {
		s.run.Drop()
	}
	a.runs, a.buffer = nil, nil
	c.countAhead()
}

// awaitEnd is the read of a single byte by which net/http waits for the end of the connection while a
// handler runs. It reads requests ahead meanwhile and starts them, and returns no byte: net/http would
// stop waiting. When the bound of bytes is reached, it only waits for the peer to close or reset the
// connection. It ends with the read deadline that net/http sets after the handler.
func (c *conn) awaitEnd() error {
	var n int
	var failed error
	fill := func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, failed = c.fill(int(fd))
		return n > 0 || !errors.Is(failed, syscall.EAGAIN)
	}
	for {
		n, failed = 0, nil
		err := c.raw.Read(fill)
		c.mu.Lock()
		if err == nil && n > 0 {
			c.startAhead()
			c.mu.Unlock()
			continue
		}
		if !isTimeout(err) && !errors.Is(err, errors.ErrUnsupported) {
			c.drop()
		}
		c.mu.Unlock()
		switch {
		case err != nil:
			return err
		case failed != nil:
			return c.readError(failed)
		}
		return io.EOF
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// scratch holds buffers into which bytes are read ahead, so that a connection without any holds none.
var scratch = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// fill reads what has arrived on the socket into the buffer, up to the bound. It returns EAGAIN if
// nothing has arrived, and no bytes and no error at the end of the connection. The caller holds the mutex.
func (c *conn) fill(fd int) (int, error) {
	room := min(c.pipelining.Bytes-c.buffered(), c.aheadRoom())
	if room <= 0 {
		if exchange.HungUp(fd) {
			return 0, nil
		}
		return 0, syscall.EAGAIN
	}
	read := scratch.Get().(*[4 << 10]byte)
	defer scratch.Put(read)
	n, err := readSocket(fd, read[:min(room, len(read))])
	if n > 0 {
		c.keepAhead(read[:n])
	}
	return n, err
}
