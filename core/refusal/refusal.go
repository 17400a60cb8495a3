// Package refusal defines the typed error responses that daemons send to callers and to
// other daemons instead of a response of an upstream, and the headers that carry them.
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
	// HeaderPrefix is the prefix of the headers that are reserved for the mesh.
	HeaderPrefix = "Mangoshed-"
	// HeaderKind carries the Kind of a refusal.
	HeaderKind = "Mangoshed-Refusal"
	// HeaderRun carries the Run of a refusal. An upstream may set it to "not-run"
	// on a 503 response if it rejected the request without running it.
	HeaderRun = "Mangoshed-Run"
	// HeaderRemaining carries the time until the deadline of a call in milliseconds.
	HeaderRemaining = "Mangoshed-Remaining-Ms"
	// HeaderDepth carries the position of a call in a chain of calls, from 0.
	HeaderDepth = "Mangoshed-Depth"
	// HeaderAttempt carries the attempt number of a forwarded call, from 1.
	HeaderAttempt = "Mangoshed-Attempt"
	// HeaderDispatch marks a call with an idempotency key that the owner of the key forwards.
	HeaderDispatch = "Mangoshed-Dispatch"
	// HeaderNoWait marks a forwarded call that must not be queued: it is refused with NoSlot
	// if all slots are in use.
	HeaderNoWait = "Mangoshed-No-Wait"
	// HeaderService carries the name of the service to which a call is forwarded.
	HeaderService = "Mangoshed-Service"
	// HeaderLoad carries the load of an upstream as IN_FLIGHT/SLOTS/QUEUED.
	HeaderLoad = "Mangoshed-Load"
	// HeaderKey carries the idempotency key that the caller sets on a request that must not
	// run more than once.
	HeaderKey = "Idempotency-Key"
	// HeaderCreated carries the time of the first use of the key in Unix milliseconds.
	HeaderCreated = "Idempotency-Created"
)

// Kind is the reason of a refusal.
type Kind string

// The kinds of refusals.
const (
	Overloaded     Kind = "overloaded"      // slots, connections or queue are full, or the upstream shed the request
	Limited        Kind = "limited"         // a rate limit is exceeded
	NoInstance     Kind = "no_instance"     // the service has no usable instance
	NoService      Kind = "no_service"      // no route matches, or the service is unknown
	NoVersion      Kind = "no_version"      // the daemon has no route table yet
	Deadline       Kind = "deadline"        // the deadline has passed or is too near
	Leaving        Kind = "leaving"         // the instance or daemon is shutting down
	Quarantined    Kind = "quarantined"     // equal requests crashed the upstream
	Duplicate      Kind = "duplicate"       // the idempotency key was used before
	UnknownOutcome Kind = "unknown_outcome" // an earlier owner of the idempotency key may have run the request
	NotOwner       Kind = "not_owner"       // the instance is not known to own the idempotency key
	InternalOnly   Kind = "internal_only"   // the service or port is only for clients with a certificate of the fleet
	BadRequest     Kind = "bad_request"     // the request is invalid
	UpstreamFailed Kind = "upstream_failed" // the upstream or its daemon is unreachable, or its response is invalid
	Cut            Kind = "cut"             // the call was cut off: a connection broke, a body stalled or the daemon stopped
	TooLarge       Kind = "too_large"       // the headers or the body are too large
	// RegionNotAllowed is the refusal by a daemon whose region the route does not list. It is sent only
	// between daemons, or if no other region is left.
	RegionNotAllowed Kind = "region_not_allowed"
	// NoSlot is the response to a call with HeaderNoWait if no slot is free. It is sent only
	// between daemons.
	NoSlot Kind = "no_slot"
)

// Run states whether the application of the upstream may have run the request.
type Run uint8

const (
	// MayHaveRun is the zero value, so that an unset field never means that a request may
	// safely be repeated.
	MayHaveRun Run = iota
	// NotRun means that no byte of the request was written to the connection to the
	// upstream, or that the upstream reported that it did not run the request.
	NotRun
)

// String returns the header value.
func (r Run) String() string {
	if r == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// Refusal is an error that a caller receives instead of the response of an upstream.
type Refusal struct {
	Kind Kind
	Run  Run
	// Status is the HTTP status code; 0 selects the default of the kind.
	Status int
	// Remedy tells the caller or operator what to do.
	Remedy string
	// RetryAfter is the value of the Retry-After header; 0 omits the header.
	RetryAfter time.Duration
}

// Error returns the kind, whether the request may have run, and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Run, r.Remedy)
}

// defaultStatus contains the HTTP status code of each kind.
var defaultStatus = map[Kind]int{
	Overloaded: http.StatusServiceUnavailable, Limited: http.StatusTooManyRequests,
	NoInstance: http.StatusServiceUnavailable, NoService: http.StatusNotFound,
	NoVersion: http.StatusServiceUnavailable, Deadline: http.StatusGatewayTimeout,
	Leaving: http.StatusServiceUnavailable, Quarantined: http.StatusUnprocessableEntity,
	Duplicate: http.StatusConflict, UnknownOutcome: http.StatusConflict,
	NotOwner: http.StatusServiceUnavailable, InternalOnly: http.StatusForbidden,
	BadRequest: http.StatusBadRequest, UpstreamFailed: http.StatusBadGateway,
	Cut: http.StatusBadGateway, TooLarge: http.StatusRequestHeaderFieldsTooLarge,
	NoSlot: http.StatusServiceUnavailable, RegionNotAllowed: http.StatusServiceUnavailable,
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

// body is the JSON body of a refusal.
type body struct {
	Kind   Kind   `json:"refusal"`
	Run    string `json:"run"`
	Remedy string `json:"remedy"`
}

// Write sends the refusal as the response to a call. Nothing else may have been written to w.
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

// maxRetryAfter is the upper bound for a Retry-After value from another daemon.
const maxRetryAfter = time.Hour

// formatSeconds formats a duration in seconds, rounded up to milliseconds.
func formatSeconds(d time.Duration) string {
	ms := (d + time.Millisecond - 1).Milliseconds()
	return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64)
}

// FromResponse returns the refusal in the response of another daemon, and false if the response
// is not a refusal. It reads only the headers. Without HeaderRun, the request counts as
// MayHaveRun.
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
