package exchange

import (
	"context"
	"net"
	"sync"
	"time"
)

// Defaults of Config.
const (
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultUnacknowledged = time.Second
	DefaultMaxIdle        = 8 * time.Second
	DefaultMaxAnswer      = 64 << 20
)

// reuseMargin is taken off the time that a peer keeps an idle connection, because both sides
// count it from different moments.
const reuseMargin = time.Second

// Config configures a Client. A zero field takes the default.
type Config struct {
	// DialTimeout bounds connecting; default 500 ms.
	DialTimeout time.Duration
	// Unacknowledged bounds the time for which sent data may stay unacknowledged; default 1 s.
	Unacknowledged time.Duration
	// MaxIdle is the age at which an idle connection is not used again; default 8 s.
	MaxIdle time.Duration
	// MaxConnections bounds the open connections to one address; 0 sets no bound.
	MaxConnections int
	// MaxAnswer bounds the body of an answer in bytes; default 64 MB.
	MaxAnswer int64
	// Budget bounds the bodies of all answers that are held at once; nil sets no bound.
	Budget *Budget
	// RequestID names the header that an answer repeats; empty if answers do not.
	RequestID string
	// Dial opens connections; default a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	cfg    Config
	dialer *net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	opened uint64
	closed bool
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.Unacknowledged == 0 {
		cfg.Unacknowledged = DefaultUnacknowledged
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	if cfg.MaxAnswer == 0 {
		cfg.MaxAnswer = DefaultMaxAnswer
	}
	return &Client{
		cfg: cfg, dialer: dialer(cfg.DialTimeout, cfg.Unacknowledged),
		idle: make(map[string][]*conn), open: make(map[string]int),
	}
}

// Opened returns the number of connections opened since the start.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Prune closes idle connections that would not be used again, and all to addresses that keep
// returns false for. A connection on which bytes arrive unasked is one of them: they count
// towards the memory of the process until it is closed.
func (c *Client) Prune(now time.Time, keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, i := range list {
			if keep(address) && c.fresh(now, i, c.cfg.MaxIdle) && i.quiet() {
				kept = append(kept, i)
				continue
			}
			c.drop(address, i)
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		clear(list[len(kept):])
		c.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.idle[address] {
		c.drop(address, i)
	}
	delete(c.idle, address)
}

// Close closes all idle connections; those in use are closed after their answer.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, list := range c.idle {
		for _, i := range list {
			c.drop(address, i)
		}
	}
	clear(c.idle)
}

// drop closes a connection. The caller holds the mutex.
func (c *Client) drop(address string, i *conn) {
	_ = i.Close()
	if c.open[address]--; c.open[address] <= 0 {
		delete(c.open, address)
	}
}

// fresh reports whether an idle connection may be used again.
func (c *Client) fresh(now time.Time, i *conn, maxIdle time.Duration) bool {
	idle := now.Sub(i.idleFrom)
	if i.lifetime > 0 && idle > i.lifetime-reuseMargin {
		return false
	}
	return idle <= min(maxIdle, c.cfg.MaxIdle)
}

// take returns an idle connection of at most the age, the most recently used first, or nil.
func (c *Client) take(now time.Time, address string, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		list := c.idle[address]
		if len(list) == 0 {
			return nil
		}
		last := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[address] = list[:len(list)-1]
		if c.fresh(now, last, maxIdle) && last.quiet() {
			last.used = true
			return last
		}
		c.drop(address, last)
	}
}

// connect opens a connection.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	if c.cfg.MaxConnections > 0 && c.open[address] >= c.cfg.MaxConnections {
		c.mu.Unlock()
		return nil, ErrTooMany
	}
	c.open[address]++
	c.opened++
	c.mu.Unlock()
	var fresh *conn
	var err error
	if c.cfg.Dial != nil {
		fresh, err = wrap(c.cfg.Dial(ctx, "tcp4", address))
	} else {
		fresh, err = dial(ctx, c.dialer, address)
	}
	if err != nil {
		c.mu.Lock()
		if c.open[address]--; c.open[address] <= 0 {
			delete(c.open, address)
		}
		c.mu.Unlock()
	}
	return fresh, err
}

// Dial opens a connection that does not belong to the client, to see whether the peer accepts any.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	if c.cfg.Dial != nil {
		return c.cfg.Dial(ctx, "tcp4", address)
	}
	return c.dialer.DialContext(ctx, "tcp4", address)
}

// put keeps a connection for further requests.
func (c *Client) put(now time.Time, address string, i *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.drop(address, i)
		return
	}
	i.idleFrom = now
	c.idle[address] = append(c.idle[address], i)
}

// discard closes a connection.
func (c *Client) discard(address string, i *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(address, i)
}
