package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attempt is one request of a consumer and what came of it.
type attempt struct {
	ID, Method, Host, Path string
	Limit                  time.Duration
	Body                   int // bytes
	// Rate limits the bytes of the body per second; 0 for no limit.
	Rate  float64
	Began time.Time
	Sent  time.Time // when the whole request was written
	Done  time.Time
	// Status is 0 if the connection ended without a whole answer; Err says why.
	Status     int
	Seal       string
	RetryAfter string
	Err        string
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// caller is a consumer with at most one connection that it keeps between requests.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// leave is the time that a consumer waits beyond its time limit before it closes the connection.
const leave = 300 * time.Millisecond

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do makes one attempt over the kept connection, or a new one.
func (c *caller) do(a *attempt) {
	a.Began = time.Now()
	defer func() { a.Done = time.Now() }()
	fail := func(stage string, err error) {
		a.Err = stage + ": " + err.Error()
		c.close()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			fail("connect", err)
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(a.Limit + leave))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n", a.Method, a.Path, a.Host, a.ID, a.Limit.Milliseconds())
	if a.Method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(a.Body) + "\r\n"
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		fail("send", err)
		return
	}
	if err := c.sendBody(a); err != nil {
		fail("send", err)
		return
	}
	a.Sent = time.Now()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.Method})
	if err != nil {
		fail("answer", err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		fail("body of the answer", err)
		return
	}
	a.Status, a.Seal, a.RetryAfter = resp.StatusCode, resp.Header.Get("X-Server-Seal"), resp.Header.Get("Retry-After")
	if resp.Close {
		c.close()
	}
}

// piece is the number of bytes of a body that are written at once.
const piece = 64 << 10

var zeros = make([]byte, piece)

// sendBody sends the body at the rate of the attempt.
func (c *caller) sendBody(a *attempt) error {
	began := time.Now()
	for sent := 0; sent < a.Body; {
		n := min(piece, a.Body-sent)
		if _, err := c.conn.Write(zeros[:n]); err != nil {
			return err
		}
		sent += n
		if a.Rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / a.Rate * float64(time.Second)))))
		}
	}
	return nil
}

// line describes an attempt for the record.
func (a *attempt) line(began time.Time) string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return strconv.FormatFloat(t.Sub(began).Seconds(), 'f', 3, 64)
	}
	parts := []string{at(a.Sent), at(a.Done), a.ID, a.Method, a.Path, strconv.Itoa(a.Body) + "B", "status=" + strconv.Itoa(a.Status)}
	if a.Seal != "" {
		parts = append(parts, "seal="+a.Seal)
	}
	if a.RetryAfter != "" {
		parts = append(parts, "retry-after="+a.RetryAfter)
	}
	if a.Err != "" {
		parts = append(parts, "("+a.Err+")")
	}
	return strings.Join(parts, " ")
}
