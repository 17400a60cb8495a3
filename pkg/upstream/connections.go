package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the time to connect. The upstream is on the same host: a
	// connection takes about 1 ms.
	dialTimeout = 250 * time.Millisecond
	// idleConnection is the time after which an unused connection is closed.
	idleConnection = 30 * time.Second
	// maxAnswerHead bounds the bytes before the body of an answer: what a link to another daemon takes.
	maxAnswerHead = 48 << 10
)

// dialer opens connections to the upstream.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// connection is one HTTP/1.1 connection to the upstream. It is used through
// net/http's ClientConn, which never sends a request twice; http.Transport does when a reused
// connection breaks and the request has no body.
type connection struct {
	client *http.ClientConn

	mu sync.Mutex
	// expose is called at the first byte of the present request.
	expose func()
	begun  bool
	sealed bool
}

// prepare sets the function that the first byte of the next request calls.
func (c *connection) prepare(expose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expose, c.begun = expose, false
}

// seal stops all further writes and reports whether the present request has begun. Without it
// a goroutine of net/http could still write after the verdict not-run.
func (c *connection) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.begun
}

// watchedConn tells its connection about writes.
type watchedConn struct {
	net.Conn
	owner *connection
}

// Write counts as begun before the first byte is written.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.owner.mu.Lock()
	first := !c.owner.begun
	expose, sealed := c.owner.expose, c.owner.sealed
	if !sealed {
		c.owner.begun = true
	}
	c.owner.mu.Unlock()
	if sealed {
		return 0, net.ErrClosed
	}
	if first && expose != nil {
		expose()
	}
	return c.Conn.Write(p)
}

// pool holds the connections to the upstream.
type pool struct {
	address string
	limit   int
	dial    dialer

	mu     sync.Mutex
	idle   []*connection
	total  int
	closed bool
}

var errTooMany = errors.New("all connections to the upstream are in use")

// get returns an idle connection, the most recently used first, or a new one.
func (p *pool) get(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.client.Reserve() == nil {
			p.mu.Unlock()
			return c, nil
		}
		p.total--
		_ = c.client.Close()
	}
	if p.closed || p.total >= p.limit {
		p.mu.Unlock()
		return nil, errTooMany
	}
	p.total++
	p.mu.Unlock()
	c, err := p.open(ctx)
	if err != nil {
		p.drop(nil)
	}
	return c, err
}

func (p *pool) open(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c := &connection{}
	transport := &http.Transport{
		DisableCompression: true, IdleConnTimeout: idleConnection, MaxResponseHeaderBytes: maxAnswerHead,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &watchedConn{Conn: conn, owner: c}, nil
		},
	}
	client, err := transport.NewClientConn(ctx, "http", p.address)
	if err != nil {
		return nil, err
	}
	c.client = client
	if err := client.Reserve(); err != nil {
		_ = client.Close()
		return nil, err
	}
	return c, nil
}

// put takes a connection back after its answer was read to the end.
func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.client.Err() != nil {
		p.total--
		_ = c.client.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection that cannot be used again; nil is one that never opened.
func (p *pool) drop(c *connection) {
	if c != nil {
		_ = c.client.Close()
	}
	p.mu.Lock()
	p.total--
	p.mu.Unlock()
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.total -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.client.Close()
	}
}

// refused reports whether nothing listens on the upstream's address.
func (p *pool) refused(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", p.address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
