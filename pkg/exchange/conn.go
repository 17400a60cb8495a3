// Package exchange sends single HTTP/1.1 requests over connections that it controls: to the
// local upstream and to other daemons. Unlike net/http's transport it never sends a request
// twice, says whether a byte of a request has left, accepts only an answer that belongs to the
// request and is whole, and never uses a connection again whose state is in doubt.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes: a usual answer.
	readBuffer = 4 << 10
	// keepAliveProbe is the time after which an idle peer is probed, and between probes;
	// keepAliveCount unanswered ones close the connection.
	keepAliveProbe = time.Second
	keepAliveCount = 2
)

// conn is one connection.
type conn struct {
	net.Conn
	source *Source
	reader *bufio.Reader
	// idleFrom is the time of the last complete answer.
	idleFrom time.Time
	// lifetime is the time that the peer keeps the connection when it is idle; 0 if unknown.
	lifetime time.Duration
	used     bool
}

// dialer returns a dialer whose connections notice a peer that has gone silent: data that is
// not acknowledged within the limit, and idle connections that do not answer probes, fail.
func dialer(timeout, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, unacknowledged) },
	}
}

// SetUserTimeout bounds the time for which sent data may stay unacknowledged.
func SetUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// dial opens a connection.
func dial(ctx context.Context, d *net.Dialer, address string) (*conn, error) {
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *conn {
	source := NewSource(c)
	return &conn{Conn: c, source: source, reader: bufio.NewReaderSize(source, readBuffer)}
}

// Closed reports whether the peer has closed its side of a connection or reset it, without reading from
// it. Bytes that have not been read do not hide that.
func Closed(c net.Conn) bool {
	tcp, isSocket := c.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var closed bool
	err = raw.Control(func(fd uintptr) { closed = HungUp(int(fd)) })
	return closed || err != nil && !errors.Is(err, unix.EAGAIN)
}

// HungUp reports whether the peer of a socket has closed its side or reset the connection, also if there
// are bytes that have not been read.
func HungUp(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
}

// Unread reports whether bytes that have arrived on a connection were not read yet.
func Unread(c net.Conn) bool {
	n, err, ok := peek(c)
	return ok && err == nil && n > 0
}

// peek looks at the next byte that has arrived; ok is false for connections without a socket.
func peek(c net.Conn) (n int, failed error, ok bool) {
	tcp, isSocket := c.(syscall.Conn)
	if !isSocket {
		return 0, nil, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err, true
	}
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, failed = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		failed = err
	}
	return n, failed, true
}

// quiet reports whether an idle connection is open and nothing unread has arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err, ok := peek(c.Conn)
	return !ok || errors.Is(err, unix.EAGAIN)
}

// parseKeepAlive returns the timeout of a Keep-Alive header, 0 without one.
func parseKeepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(number, 10, 16); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
