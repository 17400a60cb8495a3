package closing

import (
	"net"
	"sync"
)

// Limit returns a listener that accepts a new connection only while fewer than n are open. Unlike
// netutil.LimitListener, it does not hide the methods of the TCP connections. Server needs them to
// wait for the connections that are in use.
func Limit(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// limitedListener holds a slot for each open connection.
type limitedListener struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits for a free slot and a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	if s, ok := c.(socket); ok {
		return &limitedSocket{socket: s, release: sync.OnceFunc(l.release)}, nil
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(l.release)}, nil
}

// Close closes the listener. A call of Accept that waits for a slot returns net.ErrClosed.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *limitedListener) release() { <-l.slots }

// limitedSocket is a TCP connection that occupies a slot until it is closed.
type limitedSocket struct {
	socket
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedSocket) Close() error {
	defer c.release()
	return c.socket.Close()
}

// limitedConn is a connection of another kind that occupies a slot until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
