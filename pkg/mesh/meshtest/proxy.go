package meshtest

import (
	"net"
	"sync"
	"time"
)

// ProxyMode is what a proxy does to the connections through it.
type ProxyMode uint8

// The modes.
const (
	// Pass forwards bytes at once.
	Pass ProxyMode = iota
	// Slow forwards each piece after SlowTime.
	Slow
	// Mute holds what the server sends; what the client sends is forwarded.
	Mute
	// Silent holds what both sides send.
	Silent
)

// SlowTime is the delay of each piece in the mode Slow.
const SlowTime = 50 * time.Millisecond

// proxyPiece is the size in bytes of the pieces that a proxy forwards.
const proxyPiece = 16 << 10

// Proxy forwards connections to a server and harms them on the way. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	server   string
	tasks    sync.WaitGroup

	mu      sync.Mutex
	mode    ProxyMode
	changed chan struct{} // closed at the next change of the mode
	open    map[net.Conn]bool
	closed  bool
}

// NewProxy listens on an address and forwards to the server.
func NewProxy(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, server: server, changed: make(chan struct{}), open: make(map[net.Conn]bool)}
	p.tasks.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetMode changes what happens to all connections. What was held goes on in the mode Pass.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all connections; new ones work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close below resets the connection
		}
		_ = c.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
	p.tasks.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the proxy was closed
		}
		p.tasks.Go(func() { p.serve(client) })
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	if !p.register(client, server) {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.forward(server, client, false) })
	copies.Go(func() { p.forward(client, server, true) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, client)
	delete(p.open, server)
}

// register keeps both ends of a connection; false if the proxy was closed.
func (p *Proxy) register(ends ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range ends {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.open[c] = true
	}
	return !p.closed
}

// forward copies pieces from one end to the other until one of them is closed.
func (p *Proxy) forward(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	piece := make([]byte, proxyPiece)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			p.hold(back)
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.hold(back) // the end of a connection does not pass a silent link either
			return
		}
	}
}

// hold waits as long as the mode holds bytes of a direction.
func (p *Proxy) hold(back bool) {
	for {
		p.mu.Lock()
		mode, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed || mode == Pass || mode == Mute && !back:
			return
		case mode == Slow:
			select {
			case <-time.After(SlowTime):
				return
			case <-changed:
			}
		default:
			<-changed
		}
	}
}
