// Package stream copies request and response bodies between HTTP connections with bounded
// buffers and idle timeouts. An incomplete response is reported, so that the caller aborts
// the connection and the receiver does not mistake it for a complete one.
package stream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// IdleTimeout is the longest time without progress in sending or receiving a body,
	// so that a slow client or upstream cannot occupy a slot indefinitely.
	IdleTimeout = 10 * time.Second
	// bufferSize is the size in bytes of the copy buffer of one direction.
	bufferSize = 64 << 10
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// CutError reports that only part of a response was copied. The connection to the
// receiver must be aborted.
type CutError struct {
	// Receiver is true if writing to the receiver failed, false if reading from the
	// sender failed.
	Receiver bool
	Err      error
}

// Error returns a message that names the side that failed.
func (e *CutError) Error() string {
	side := "the sender"
	if e.Receiver {
		side = "the receiver"
	}
	return fmt.Sprintf("response truncated because %s failed: %v; the request may have run", side, e.Err)
}

// Unwrap returns the underlying error.
func (e *CutError) Unwrap() error { return e.Err }

var errLength = errors.New("body length differs from Content-Length")

// WriteResponse writes the response with its body and trailers to w and closes the body. It calls
// cancel, which must cancel the request that resp belongs to, if no byte is read or written
// for the idle time. On a *CutError the caller must abort the connection.
func WriteResponse(w http.ResponseWriter, method string, resp *http.Response, idle time.Duration, cancel func()) error {
	defer func() { _ = resp.Body.Close() }()
	header := w.Header()
	StripHop(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Prevents net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	announcedTrailers := len(resp.Trailer)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	if HasBody(method, resp.StatusCode) {
		setLength(header, resp.ContentLength, announcedTrailers)
	}
	w.WriteHeader(resp.StatusCode)
	if !HasBody(method, resp.StatusCode) {
		return nil
	}
	if err := copyBody(w, resp, idle, cancel); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		if announcedTrailers == 0 || header.Get(name) != "" {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
	return nil
}

// setLength sets Content-Length to the length of the body, or removes it if the length is
// unknown (negative) or the response has trailers: HTTP/1.1 does not allow both.
func setLength(header http.Header, length int64, trailers int) {
	if length < 0 || trailers > 0 {
		delete(header, "Content-Length")
	} else if value := strconv.FormatInt(length, 10); header.Get("Content-Length") != value {
		header["Content-Length"] = []string{value}
	}
}

// HasBody reports whether a response with the given status to a request with the given
// method may have a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && status >= 200
}

// copyBody copies the body of resp to w. It checks the length itself, because resp can come
// from a RoundTripper that does not.
func copyBody(w http.ResponseWriter, resp *http.Response, idle time.Duration, cancel func()) error {
	if resp.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	watch := NewWatch(idle, func() {
		_ = control.SetWriteDeadline(time.Now())
		cancel()
	})
	defer watch.Stop()
	buffer := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buffer)
	if resp.ContentLength < 0 {
		if err := control.Flush(); err != nil {
			return &CutError{Receiver: true, Err: err}
		}
	}
	var total int64
	for {
		watch.Touch()
		n, err := resp.Body.Read(buffer[:])
		total += int64(n)
		if resp.ContentLength >= 0 && total > resp.ContentLength {
			return &CutError{Err: errLength}
		}
		if n > 0 {
			watch.Touch()
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return &CutError{Receiver: true, Err: writeErr}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if resp.ContentLength >= 0 && total != resp.ContentLength {
				return &CutError{Err: errLength}
			}
			if !watch.Stop() {
				return &CutError{Err: errIdle}
			}
			return nil
		case err != nil:
			return &CutError{Err: err}
		case total != resp.ContentLength && n < bufferSize:
			// A partly filled buffer means that no more data has arrived yet: flush,
			// so that the receiver gets the data without delay.
			if err := control.Flush(); err != nil {
				return &CutError{Receiver: true, Err: err}
			}
		}
	}
}
