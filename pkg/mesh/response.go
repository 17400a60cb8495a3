package mesh

import (
	"net/http"
	"strconv"
	"time"

	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// responsePieceBytes is the size in bytes of the pieces in which a response's body is written, and
	// responseStallTimeout the time in which the receiver has to take a piece.
	responsePieceBytes   = 256 << 10
	responseStallTimeout = 10 * time.Second
	// lateResponseTime is the time for writing a response to a receiver that is about to give up, or has
	// given up as far as its deadline tells.
	lateResponseTime = time.Second
	// maxExchangeTime bounds the time from a request's header to the end of its response if nothing
	// else does.
	maxExchangeTime = route.MaxTimeout + time.Minute
)

// setWriteDeadline sets the time at which writes of the response fail. It fails only if the connection
// is closed already, so that writes fail anyway.
func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}

// boundWrite sets the write deadline for the next piece of a response that the receiver awaits until
// the given time; the zero time if that is unknown.
func boundWrite(w http.ResponseWriter, by time.Time) {
	now := time.Now()
	at := now.Add(responseStallTimeout)
	if !by.IsZero() {
		at = earlier(at, later(by, now.Add(lateResponseTime)))
	}
	setWriteDeadline(w, at)
}

// writeResponse writes an upstream's response without the headers that only daemons may set, and
// releases it. The receiver awaits the response until the given time; the zero time if that is
// unknown. The error is os.ErrDeadlineExceeded if the receiver stops reading.
func writeResponse(w http.ResponseWriter, a *exchange.Response, by time.Time) error {
	defer a.Release()
	h := w.Header()
	for name, values := range withoutPeerHeaders(a.Header) {
		h[name] = values
	}
	for _, name := range [...]string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // prevents net/http from adding the header
		}
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	boundWrite(w, by)
	w.WriteHeader(a.Status)
	for rest := a.Body; len(rest) > 0; {
		piece := rest[:min(len(rest), responsePieceBytes)]
		boundWrite(w, by)
		if _, err := w.Write(piece); err != nil {
			return err
		}
		rest = rest[len(piece):]
	}
	return nil
}
