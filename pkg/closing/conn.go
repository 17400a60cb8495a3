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
		return &conn{socket: s, accepted: time.Now()}, nil
	}
	return c, nil
}

// conn is a connection that knows whether it is idle: an answer has left and nothing of the next
// request has been read.
type conn struct {
	socket
	accepted time.Time

	mu   sync.Mutex
	idle bool
	used bool // something has arrived
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
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle, c.used = false, true
	}
	return n, err
}

// endIfIdle ends the wait for a next request if none has arrived, and that for the first one from an
// age on; 0 for none. It reports whether it did. The server sets the deadline anew for a request
// that was read meanwhile, before its header.
func (c *conn) endIfIdle(unused time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := c.idle || !c.used && unused > 0 && time.Since(c.accepted) >= unused
	if !waits || exchange.Unread(c) {
		return false
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return true
}
