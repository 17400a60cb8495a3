// Package stream passes an answer from one HTTP connection to another: whole or not at
// all, through bounded buffers and with bounded idle times.
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
	// IdleTimeout bounds the time for which a peer may neither send nor take a byte
	// of a body, so that a slow peer cannot hold a slot.
	IdleTimeout = 10 * time.Second
	// bufferSize is the largest part of a body that is in memory per direction.
	bufferSize = 64 << 10
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// CutError reports an answer that was passed on in part only. The connection to the
// receiver must be aborted.
type CutError struct {
	// Receiver says that the receiving side failed, not the sending one.
	Receiver bool
	Err      error
}

// Error names the failing side.
func (e *CutError) Error() string {
	side := "the sender"
	if e.Receiver {
		side = "the receiver"
	}
	return fmt.Sprintf("answer cut by %s: %v; the request may have run", side, e.Err)
}

// Unwrap returns the underlying error.
func (e *CutError) Unwrap() error { return e.Err }

var errLength = errors.New("body and Content-Length differ")

// Answer writes the answer with its body and trailers to w and closes the body. cancel
// ends the call that the answer belongs to; it is called when a peer is idle for too
// long. On a *CutError the caller must abort the connection.
func Answer(w http.ResponseWriter, method string, resp *http.Response, idle time.Duration, cancel func()) error {
	defer func() { _ = resp.Body.Close() }()
	header := w.Header()
	StripHop(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	announced := len(resp.Trailer)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	if HasBody(method, resp.StatusCode) {
		setLength(header, resp.ContentLength, announced)
	}
	w.WriteHeader(resp.StatusCode)
	if !HasBody(method, resp.StatusCode) {
		return nil
	}
	if err := copyBody(w, resp, idle, cancel); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		if announced == 0 || header.Get(name) != "" {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
	return nil
}

// setLength makes the header agree with the body. A length and trailers exclude each
// other in HTTP/1.1.
func setLength(header http.Header, length int64, trailers int) {
	if length < 0 || trailers > 0 {
		delete(header, "Content-Length")
	} else if value := strconv.FormatInt(length, 10); header.Get("Content-Length") != value {
		header["Content-Length"] = []string{value}
	}
}

// HasBody reports whether an answer with the status to a request with the method may
// have a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && status >= 200
}

// copyBody checks the length itself, because the sender can be a RoundTripper that
// does not.
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
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return &CutError{Receiver: true, Err: werr}
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
			// The sender pauses; what it sent must not wait in a buffer.
			if err := control.Flush(); err != nil {
				return &CutError{Receiver: true, Err: err}
			}
		}
	}
}
