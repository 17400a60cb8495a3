package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// link is one connection to a peer.
type link struct {
	conn    *http.ClientConn
	counter *counter
}

func (l *link) written() int64 { return l.counter.n.Load() }

// peer holds the connections to one daemon.
type peer struct {
	key    peerKey
	config ClientConfig
	used   atomic.Int64 // last use, Unix nanoseconds

	mu      sync.Mutex
	links   []*link
	pending *attempt
	retired bool
}

// attempt is one try to connect that several calls wait for.
type attempt struct {
	done chan struct{}
	link *link
	err  error
}

// reserve returns a connection with a stream for one call. Several calls share an
// attempt to connect, which outlives the call that started it.
func (p *peer) reserve(ctx context.Context) (*link, error) {
	p.used.Store(time.Now().UnixNano())
	for {
		l, d := p.tryReserve()
		if l != nil {
			return l, nil
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if d.err != nil {
			return nil, d.err
		}
		if d.link.conn.Reserve() == nil {
			return d.link, nil
		}
		if err := d.link.conn.Err(); err != nil {
			return nil, err
		}
	}
}

// tryReserve takes the least busy connection. When all are busy it starts another one,
// but waits for it only if there is none to use.
func (p *peer) tryReserve() (*link, *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = slices.DeleteFunc(p.links, func(l *link) bool { return l.conn.Err() != nil })
	slices.SortFunc(p.links, func(a, b *link) int { return a.conn.InFlight() - b.conn.InFlight() })
	var found *link
	for _, l := range p.links {
		if l.conn.Reserve() == nil {
			found = l
			break
		}
	}
	grow := found != nil && len(p.links) < maxConns && found.conn.InFlight() > busyConn
	if p.pending == nil && (found == nil || grow) {
		p.pending = &attempt{done: make(chan struct{})}
		go p.connect(p.pending, len(p.links) >= maxConns)
	}
	return found, p.pending
}

// connect opens a connection and publishes it.
func (p *peer) connect(d *attempt, tooMany bool) {
	defer close(d.done)
	if tooMany {
		d.err = errTooMany
	} else {
		d.link, d.err = p.open()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = nil
	if d.err != nil {
		return
	}
	if p.retired {
		_ = d.link.conn.Close()
		return
	}
	p.links = append(p.links, d.link)
}

var errTooMany = &net.OpError{Op: "dial", Net: "tcp", Err: errNoStream{}}

type errNoStream struct{}

func (errNoStream) Error() string { return "all streams of all connections to the peer are in use" }

func (p *peer) open() (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.config.DialTimeout)
	defer cancel()
	l := &link{}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	// Each connection has its own transport, which holds its byte counter.
	transport := &http.Transport{
		TLSClientConfig: p.config.Identity.ClientTLS(p.key.id, protocol), TLSHandshakeTimeout: p.config.DialTimeout,
		Protocols: protocols, HTTP2: http2Config(pingAfter), IdleConnTimeout: idleConn, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.config.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			l.counter = &counter{Conn: conn}
			return l.counter, nil
		},
	}
	conn, err := transport.NewClientConn(ctx, "https", p.key.addr)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	return l, nil
}

// busy reports whether calls are in flight.
func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending != nil {
		return true
	}
	for _, l := range p.links {
		if l.conn.InFlight() > 0 {
			return true
		}
	}
	return false
}

// retire closes connections as soon as they carry no call.
func (p *peer) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, l := range p.links {
		l.conn.SetStateHook(func(conn *http.ClientConn) {
			if conn.InFlight() == 0 {
				_ = conn.Close()
			}
		})
		if l.conn.InFlight() == 0 {
			_ = l.conn.Close()
		}
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, l := range p.links {
		_ = l.conn.Close()
	}
}

// bytesBody is a request body in memory.
type bytesBody struct{ bytes.Reader }

func newBytesBody(data []byte) io.ReadCloser {
	b := &bytesBody{}
	b.Reset(data)
	return b
}

// Close does nothing.
func (*bytesBody) Close() error { return nil }
