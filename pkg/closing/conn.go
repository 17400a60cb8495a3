package closing

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// socket has the methods of *net.TCPConn that http.Server uses.
type socket interface {
	net.Conn
	syscall.Conn
	io.ReaderFrom
	CloseWrite() error
}

// listener wraps the connections that it accepts in conn, which tracks whether they are idle.
type listener struct{ net.Listener }

// Accept waiting for a connection. Connections other than sockets are returned unwrapped.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if s, ok := c.(socket); ok {
		return &conn{socket: s, accepted: time.Now()}, nil
	}
	return c, nil
}

// conn tracks whether a connection is idle: the last response has been sent and no byte of the next
// request has been read.
type conn struct {
	socket
	accepted time.Time

	mu   sync.Mutex
	idle bool
	used bool // at least one byte has been read
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// Read marks the connection as used and no longer idle if it reads any bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle, c.used = false, true
	}
	return n, err
}

// closeIfIdle makes the server close the connection if it is idle, or if it has been open for at
// least unusedTimeout (0 for no timeout) without any byte being read. It reports whether it did so.
// The read deadline in the past ends the server's wait for a request. If the server has begun to read
// a request in the meantime, it sets a new deadline before it reads the header.
func (c *conn) closeIfIdle(unusedTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.idle || !c.used && unusedTimeout > 0 && time.Since(c.accepted) >= unusedTimeout
	if !waiting || exchange.Unread(c) {
		return false
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return true
}
