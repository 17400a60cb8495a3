package closing

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTime bounds the time for which the socket of a connection that the server has ended stays open.
	lingerTime = 30 * time.Second
	// lingerStall is that time for a peer that neither takes nor sends anything, and lingerQuiet for one that, as far
	// as its acknowledgements show, has received everything. Both count from the last write or sign of the peer.
	lingerStall = 5 * time.Second
	lingerQuiet = time.Second
	// lingerBytes bounds what is read and dropped: the rest of a body of the usual maximum size.
	lingerBytes = 64 << 20
	// lingerPoll is the interval at which a peer that sends nothing is checked.
	lingerPoll = 200 * time.Millisecond
	// lingerDivisor is the divisor of Bounds.Open for the number of sockets that stay open at a time, besides those
	// of open connections; without a bound they are at most maxLingering. Beyond it, the oldest is closed.
	lingerDivisor = 8
	minLingering  = 8
	maxLingering  = 256
)

// linger ends the sending side of a connection and drops what arrives until the peer has closed its side (RFC 9112,
// section 9.6). If the socket were closed at once, the kernel would answer bytes that arrive later, such as pipelined
// requests, with a reset, and a reset discards what the peer has not received of the last responses.
//
// Nothing is owed to a peer that has closed its side, to which nothing was written, or that did not take the last write.
func (c *conn) linger() {
	c.mu.Lock()
	progress, failed := c.written, c.writeFailed
	c.mu.Unlock()
	dropped, ended := c.dropArrived()
	if ended || failed || progress.IsZero() || c.CloseWrite() != nil {
		return
	}
	began, unacknowledged := time.Now(), c.unacknowledged()
	for dropped <= lingerBytes {
		now, left := time.Now(), c.unacknowledged()
		if left < unacknowledged {
			progress = now
		}
		unacknowledged = left
		if now.Sub(began) > lingerTime || now.Sub(progress) > lingerPatience(left) {
			return
		}
		n, ended := c.awaitArrival(now.Add(lingerPoll))
		if ended {
			return
		}
		if n > 0 {
			dropped += n
			progress = time.Now()
		}
	}
}

// lingerPatience returns how long to wait for a peer that makes no progress and has not acknowledged so many bytes.
func lingerPatience(unacknowledged int) time.Duration {
	if unacknowledged > 1 { // one is the end of the stream
		return lingerStall
	}
	return lingerQuiet
}

// unacknowledged returns the number of bytes that the peer has not acknowledged, a large one if it is unknown.
func (c *conn) unacknowledged() int {
	const unknown = 1 << 30
	n := unknown
	err := c.raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return unknown
	}
	return n
}

// dropArrived reads and drops what has arrived. ended is set if the peer has closed its side or reset the connection.
func (c *conn) dropArrived() (n int, ended bool) {
	err := c.raw.Control(func(fd uintptr) { n, ended = dropUnread(int(fd)) })
	return n, ended || err != nil
}

// awaitArrival waits until a time for bytes, and drops them like dropArrived.
func (c *conn) awaitArrival(until time.Time) (n int, ended bool) {
	if err := c.socket.SetReadDeadline(until); err != nil {
		return 0, true
	}
	err := c.raw.Read(func(fd uintptr) bool {
		n, ended = dropUnread(int(fd))
		return n > 0 || ended
	})
	return n, ended || err != nil && !isTimeout(err)
}

// dropUnread reads and drops what has arrived on a socket, up to lingerBytes.
func dropUnread(fd int) (n int, ended bool) {
	buffer := scratch.Get().(*[4 << 10]byte)
	defer scratch.Put(buffer)
	for n <= lingerBytes {
		more, err := readSocket(fd, buffer[:])
		if errors.Is(err, syscall.EAGAIN) {
			return n, false
		}
		if more == 0 || err != nil {
			return n, true
		}
		n += more
	}
	return n, false
}

// beginLinger reports whether the socket of an ended connection may stay open. It no longer counts towards Bounds.Open.
func (s *Server) beginLinger(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; !open || s.closed {
		return false
	}
	if _, lingers := s.lingering[c]; lingers {
		return false // closed again
	}
	if len(s.lingering) >= s.lingeringLimit() {
		s.closeOldestLingering()
	}
	s.lingering[c] = time.Now()
	s.leave(c)
	return true
}

func (s *Server) lingeringLimit() int {
	if s.Bounds.Open <= 0 {
		return maxLingering
	}
	return max(minLingering, s.Bounds.Open/lingerDivisor)
}

// closeOldestLingering closes the socket that has lingered for longest. The caller holds the mutex.
func (s *Server) closeOldestLingering() {
	var oldest *conn
	for c, since := range s.lingering {
		if oldest == nil || since.Before(s.lingering[oldest]) {
			oldest = c
		}
	}
	delete(s.lingering, oldest)
	_ = oldest.socket.Close()
}

func (s *Server) endLinger(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lingering, c)
}
