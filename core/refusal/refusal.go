// Package refusal defines the typed answers that the system gives when it does not
// pass on an answer of an upstream, and the headers that carry them.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Header names that daemons, callers and upstreams exchange.
const (
	// HeaderPrefix starts every header that is reserved for the system.
	HeaderPrefix = "Mangoshed-"
	// HeaderKind carries the Kind of a refusal.
	HeaderKind = "Mangoshed-Refusal"
	// HeaderRun carries the Run of a refusal. An upstream may set it to "not-run"
	// on a 503 answer to say that it shed the request.
	HeaderRun = "Mangoshed-Run"
	// HeaderRemaining carries the remaining time of a call in milliseconds.
	HeaderRemaining = "Mangoshed-Remaining-Ms"
	// HeaderDepth carries the position of a call in a chain of calls, from 0.
	HeaderDepth = "Mangoshed-Depth"
	// HeaderAttempt carries the attempt number of a forwarded call, from 1.
	HeaderAttempt = "Mangoshed-Attempt"
	// HeaderDispatch marks a keyed call that the key's owner dispatches.
	HeaderDispatch = "Mangoshed-Dispatch"
	// HeaderNoWait marks a forwarded call that is to be refused with NoSlot rather than queued.
	HeaderNoWait = "Mangoshed-No-Wait"
	// HeaderService carries the service of a forwarded call.
	HeaderService = "Mangoshed-Service"
	// HeaderLoad carries the load of an upstream as inflight/slots/queued.
	HeaderLoad = "Mangoshed-Load"
	// HeaderKey is the caller's key of a request that may not be repeated.
	HeaderKey = "Idempotency-Key"
	// HeaderCreated is the first use of the key in Unix milliseconds.
	HeaderCreated = "Idempotency-Created"
)

// Kind names the reason of a refusal.
type Kind string

// The kinds of refusals.
const (
	Overloaded     Kind = "overloaded"
	Limited        Kind = "limited"
	NoInstance     Kind = "no_instance"
	NoService      Kind = "no_service"
	NoVersion      Kind = "no_version"
	Deadline       Kind = "deadline"
	Leaving        Kind = "leaving"
	Quarantined    Kind = "quarantined"
	Duplicate      Kind = "duplicate"
	UnknownOutcome Kind = "unknown_outcome"
	NotOwner       Kind = "not_owner"
	InternalOnly   Kind = "internal_only"
	BadRequest     Kind = "bad_request"
	UpstreamFailed Kind = "upstream_failed"
	Cut            Kind = "cut"
	TooLarge       Kind = "too_large"
	// NoSlot answers HeaderNoWait between daemons; callers do not see it.
	NoSlot Kind = "no_slot"
)

// Run says whether the request can have reached the upstream's application.
type Run uint8

const (
	// MayHaveRun is the zero value, so that an unset field never claims not-run.
	MayHaveRun Run = iota
	// NotRun means that no byte of the request was handed to the upstream's
	// connection, or that the upstream itself said that it did not run it.
	NotRun
)

// String returns the header value.
func (r Run) String() string {
	if r == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// Refusal is an error that a caller receives in place of an upstream's answer.
type Refusal struct {
	Kind Kind
	Run  Run
	// Status is the HTTP status code; 0 takes the default of the kind.
	Status int
	// Remedy tells the caller or operator what to do.
	Remedy string
	// RetryAfter is the time after which another attempt is useful; 0 omits it.
	RetryAfter time.Duration
}

// Error returns the kind, the run state and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Run, r.Remedy)
}

// defaultStatus maps kinds to HTTP status codes.
var defaultStatus = map[Kind]int{
	Overloaded: http.StatusServiceUnavailable, Limited: http.StatusTooManyRequests,
	NoInstance: http.StatusServiceUnavailable, NoService: http.StatusNotFound,
	NoVersion: http.StatusServiceUnavailable, Deadline: http.StatusGatewayTimeout,
	Leaving: http.StatusServiceUnavailable, Quarantined: http.StatusUnprocessableEntity,
	Duplicate: http.StatusConflict, UnknownOutcome: http.StatusConflict,
	NotOwner: http.StatusServiceUnavailable, InternalOnly: http.StatusForbidden,
	BadRequest: http.StatusBadRequest, UpstreamFailed: http.StatusBadGateway,
	Cut: http.StatusBadGateway, TooLarge: http.StatusRequestHeaderFieldsTooLarge,
	NoSlot: http.StatusServiceUnavailable,
}

// StatusCode returns the HTTP status code of the refusal.
func (r *Refusal) StatusCode() int {
	if r.Status != 0 {
		return r.Status
	}
	if code, ok := defaultStatus[r.Kind]; ok {
		return code
	}
	return http.StatusBadGateway
}

// body is the JSON form of a refusal.
type body struct {
	Kind   Kind   `json:"refusal"`
	Run    string `json:"run"`
	Remedy string `json:"remedy"`
}

// Write answers a call with the refusal. It is called before any other part of the
// answer is written.
func Write(w http.ResponseWriter, r *Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderKind, string(r.Kind))
	h.Set(HeaderRun, r.Run.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", formatSeconds(r.RetryAfter))
	}
	w.WriteHeader(r.StatusCode())
	_ = json.NewEncoder(w).Encode(body{Kind: r.Kind, Run: r.Run.String(), Remedy: r.Remedy})
}

// maxRetryAfter bounds what is read from another daemon's answer.
const maxRetryAfter = time.Hour

// formatSeconds writes whole seconds as such, other times rounded up to milliseconds.
func formatSeconds(d time.Duration) string {
	ms := (d + time.Millisecond - 1).Milliseconds()
	return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64)
}

// FromResponse returns the refusal that an answer of another daemon carries. It reads
// the headers only. An answer without a run header counts as may-have-run.
func FromResponse(resp *http.Response) (*Refusal, bool) {
	kind := resp.Header.Get(HeaderKind)
	if kind == "" {
		return nil, false
	}
	r := &Refusal{Kind: Kind(kind), Status: resp.StatusCode, Remedy: "refused by another daemon; see its audit trail and metrics"}
	if resp.Header.Get(HeaderRun) == NotRun.String() {
		r.Run = NotRun
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return r, true
}
