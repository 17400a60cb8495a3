package closing

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// socket is a connection with all that http.Server uses of a *net.TCPConn.
type socket interface {
	net.Conn
	syscall.Conn
	io.ReaderFrom
	CloseWrite() error
}

// listener accepts connections that know whether they are idle.
type listener struct{ net.Listener }

// Accept waits for a connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if s, ok := c.(socket); ok {
		return &conn{socket: s}, nil
	}
	return c, nil
}

// conn is a connection that knows whether it is idle: an answer has left and nothing of the next
// request has been read.
type conn struct {
	socket
	mu   sync.Mutex
	idle bool
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// Read reads bytes of requests.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 {
		c.setIdle(false)
	}
	return n, err
}

// endIfIdle ends the wait for a next request if none has arrived, and reports whether it did. The
// server sets the deadline anew for a request that was read meanwhile, before its header.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || exchange.Unread(c) {
		return false
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return true
}
