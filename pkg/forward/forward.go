// Package forward carries calls between daemons: HTTP/2 over TCP with mutual TLS.
package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// protocol is the only protocol that both sides negotiate.
	protocol = "h2"
	// maxHeaderBytes leaves room for the system's headers next to a caller's 32 KB.
	maxHeaderBytes = 48 << 10
	// frameBytes is the largest frame that both sides accept. 64 KB instead of 16 KB
	// saves system calls for large bodies.
	frameBytes = 64 << 10
	// windowBytes bounds the unread bytes of a stream and connWindowBytes those of a
	// connection. 256 KB fill a path with 16 ms of round-trip time at 16 MB/s.
	windowBytes     = 256 << 10
	connWindowBytes = 1 << 20
	// maxStreams bounds the calls of one peer on one connection.
	maxStreams = 1000
	// pingAfter and pingTimeout let a client find a peer that is gone without a reset.
	// A ping costs about 200 bytes on the wire with its answer, and an unused
	// connection sees two of them before it is closed.
	pingAfter   = 15 * time.Second
	pingTimeout = 2 * time.Second
	// writeTimeout closes a connection that takes no byte.
	writeTimeout = 10 * time.Second
)

// http2Config returns the settings of either side; 0 sends no pings.
func http2Config(pingAfter time.Duration) *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReadFrameSize: frameBytes,
		MaxReceiveBufferPerConnection: connWindowBytes, MaxReceiveBufferPerStream: windowBytes,
		SendPingTimeout: pingAfter, PingTimeout: pingTimeout, WriteByteTimeout: writeTimeout,
	}
}

// Error reports a call that got no answer from the peer. It unwraps to a
// *refusal.Refusal and to the underlying error.
type Error struct {
	refusal.Refusal
	// Broken says that the connection failed, which speaks against the instance.
	Broken bool
	Err    error
}

// Error names the cause, whether the call can have run, and the remedy.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Refusal.Error(), e.Err) }

// Unwrap returns the refusal and the underlying error.
func (e *Error) Unwrap() []error { return []error{&e.Refusal, e.Err} }

// SetRemaining writes the remaining time of the context into the header, at least 1 ms.
func SetRemaining(ctx context.Context, h http.Header, now time.Time) {
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, deadline.Sub(now).Milliseconds())
		h[refusal.HeaderRemaining] = []string{strconv.FormatInt(left, 10)}
	}
}

// Remaining reads the remaining time from the header; 0 means that there is none.
func Remaining(h http.Header) (time.Duration, error) {
	value := h.Get(refusal.HeaderRemaining)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(value, 10, 31)
	if err != nil || ms == 0 {
		return 0, errors.New(refusal.HeaderRemaining + " is not a positive number of milliseconds")
	}
	return time.Duration(ms) * time.Millisecond, nil
}
