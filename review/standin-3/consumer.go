package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// receiveBuffer is the size of a consumer's receive buffer in bytes, so that what it does not read stays with
// the daemon.
const receiveBuffer = 4096

// timeLimit is the time limit of the requests of consumers that pipeline: that of advance-status.
const timeLimit = 8 * time.Second

// consumer is a connection of a consumer.
type consumer struct {
	net.Conn
	reader *bufio.Reader
	n      int
	record *recorder
	sent   []string // the IDs of its requests
}

// dialConsumer connects a consumer to the daemon of its machine.
func dialConsumer(n int, address string, record *recorder) (*consumer, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	c, err := d.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &consumer{Conn: c, reader: bufio.NewReaderSize(c, 1024), n: n, record: record}, nil
}

// send sends the next request.
func (c *consumer) send() {
	id := fmt.Sprintf("%08x%08x", c.n+1, len(c.sent)+1)
	c.sent = append(c.sent, id)
	_, err := fmt.Fprintf(c, "GET /status/%d HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n\r\n", c.n, id, timeLimit.Milliseconds())
	c.record.say("sent      %s, error %v", id, err)
}

// readSlowly reads a body in pieces, with a pause after each. It returns the number of bytes read.
func readSlowly(body io.Reader, piece int, pause time.Duration) (int, error) {
	n, buffer := 0, make([]byte, piece)
	for {
		got, err := body.Read(buffer)
		n += got
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		if got > 0 {
			time.Sleep(pause)
		}
	}
}
