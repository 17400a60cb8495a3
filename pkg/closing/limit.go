package closing

import (
	"net"
	"sync"
)

// Limit returns a listener for at most n connections at a time; more wait to be accepted. Server
// waits for its connections, which it could not for those of netutil.LimitListener: their sockets
// are hidden.
func Limit(l net.Listener, n int) net.Listener {
	return &limited{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

type limited struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for a free slot and a connection.
func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.free()
		return nil, err
	}
	if s, ok := c.(socket); ok {
		return &limitedSocket{socket: s, free: sync.OnceFunc(l.free)}, nil
	}
	return &limitedConn{Conn: c, free: sync.OnceFunc(l.free)}, nil
}

// Close ends Accept.
func (l *limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *limited) free() { <-l.slots }

type limitedSocket struct {
	socket
	free func()
}

// Close makes room for the next connection.
func (c *limitedSocket) Close() error {
	defer c.free()
	return c.socket.Close()
}

type limitedConn struct {
	net.Conn
	free func()
}

// Close makes room for the next connection.
func (c *limitedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
