package closing

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// socket has the methods of *net.TCPConn that http.Server uses.
type socket interface {
	net.Conn
	syscall.Conn
	io.ReaderFrom
	CloseWrite() error
}

// listener wraps the connections that it accepts in conn, which tracks whether they are idle.
type listener struct {
	net.Listener
	server     *Server
	pipelining *Pipelining // nil without read-ahead
}

// Accept waiting for a connection. Connections other than sockets are returned unwrapped.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for ; err == nil && !l.server.admit(); c, err = l.Listener.Accept() {
		_ = c.Close()
	}
	if err != nil {
		return nil, err
	}
	s, ok := c.(socket)
	if !ok {
		return c, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c, nil // closed already; the server finds that out when it reads
	}
	return &conn{socket: s, raw: raw, server: l.server, accepted: time.Now(), pipelining: l.pipelining}, nil
}

// conn tracks whether a connection is idle: the last response has been sent and no byte of the next
// request has been read.
type conn struct {
	socket
	raw        syscall.RawConn
	server     *Server
	accepted   time.Time
	pipelining *Pipelining // nil without read-ahead

	mu   sync.Mutex
	wait waiting
	idle bool
	used bool // at least one byte has been read
	// written is the time of the end of the last write, and writeFailed is set once one has failed.
	written     time.Time
	writeFailed bool
	cut         bool // the socket has been closed already

	// The state of read-ahead. admitted is set if requests may be started behind the one that is being
	// handled, held if none may on this connection, and ended if the connection has been closed by
	// either side. bodyLeft is the number of bytes of a request's body that the server does not have.
	position position
	admitted bool
	held     bool
	ended    bool
	bodyLeft int64
	ahead    *ahead
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// Read marks the connection as used and no longer idle if it reads any bytes. It does so in one step
// with the read: between the two, a connection with a request would look idle to closeIfIdle.
//
// With read-ahead it passes no bytes beyond the end of a request: they would reach net/http's buffer, where
// they cannot be seen.
func (c *conn) Read(p []byte) (int, error) {
	if c.pipelining != nil {
		switch n, state := c.beginRead(p); state {
		case readEnded:
			return 0, io.EOF
		case readOverBound:
			return 0, errHead
		case readBackground:
			return c.readInBackground(p)
		case readBuffered:
			return n, nil
		case readSocketUpTo:
			p = p[:n]
		}
	}
	var n int
	var failed error
	err := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if failed = c.beforeRead(); failed != nil {
			return true
		}
		n, failed = readSocket(int(fd), p)
		if n > 0 {
			c.idle, c.used = false, true
			if c.pipelining != nil {
				n = c.passRead(p[:n])
			}
			c.afterRead(p[:n]) // what was read ahead belongs to a later request
		}
		return !errors.Is(failed, syscall.EAGAIN)
	})
	switch {
	case errors.Is(err, errors.ErrUnsupported):
		return c.readPlain(p)
	case err != nil:
		return 0, err
	case errors.Is(failed, errHead):
		return 0, failed
	case failed != nil:
		return 0, c.readError(failed)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

func (c *conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
}

// readState tells how to read on a connection with read-ahead.
type readState uint8

const (
	readSocketUpTo readState = iota // read that many bytes from the socket at most
	readBuffered                    // that many bytes were taken from those read ahead
	readBackground                  // net/http waits for the end of the connection
	readEnded                       // the connection has ended
	readOverBound                   // the head exceeds a bound
)

// beginRead passes bytes that were read ahead, or tells how to read others.
func (c *conn) beginRead(p []byte) (int, readState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return 0, readEnded
	case c.position == between && len(p) == 1:
		return 0, readBackground
	case c.buffered() > 0 && len(p) > 0:
		// The head of a request that has been started was checked then.
		if len(c.ahead.runs) == 0 && c.beforeRead() != nil {
			return 0, readOverBound
		}
		n := c.passBuffered(p)
		c.afterRead(p[:n])
		return n, readBuffered
	case c.position == inBody && int64(len(p)) > c.bodyLeft:
		return int(c.bodyLeft), readSocketUpTo
	}
	return len(p), readSocketUpTo
}

// readInBackground waits for the end of the connection and reads ahead meanwhile.
func (c *conn) readInBackground(p []byte) (int, error) {
	err := c.awaitEnd()
	if errors.Is(err, errors.ErrUnsupported) {
		return c.readPlain(p)
	}
	return 0, err
}

// Close closes the connection and drops the runs of the requests behind the one that is being handled. Unless the
// server is closed, it first waits until the peer has received what was written, as linger tells.
func (c *conn) Close() error {
	c.mu.Lock()
	c.drop()
	cut := c.cut
	c.mu.Unlock()
	if c.server != nil && !cut && c.server.beginLinger(c) {
		c.linger()
		c.server.endLinger(c)
	}
	return c.socket.Close()
}

// SetReadDeadline sets the deadline of reads, unless the server has evicted the connection.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.evicted {
		at = past
	}
	return c.socket.SetReadDeadline(at)
}

// readPlain reads from a connection without a file descriptor.
func (c *conn) readPlain(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle, c.used = false, true
	}
	return n, err
}

// readSocket reads from a socket without waiting. It returns no bytes and no error at the end of the
// stream. Unlike that of x/sys/unix, syscall.Read tells the race detector that what is read was written
// before.
func readSocket(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// closeIfIdle makes the server close the connection if it is idle, or if it has been open for at
// least unusedTimeout (0 for no timeout) without any byte being read. It reports whether it did so.
// The read deadline in the past ends the server's wait for a request. If the server has begun to read
// a request in the meantime, it sets a new deadline before it reads the header.
func (c *conn) closeIfIdle(unusedTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.idle || !c.used && unusedTimeout > 0 && time.Since(c.accepted) >= unusedTimeout
	if !waiting || c.buffered() > 0 || exchange.Unread(c) {
		return false
	}
	_ = c.socket.SetReadDeadline(past)
	return true
}
