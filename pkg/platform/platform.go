// Package platform reads and watches the platform service: the store of published
// tables and the list of instances. docs/platform-protocol.md describes the protocol
// that the HTTP implementation speaks.
package platform

import (
	"context"
	"fmt"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// MaxValueBytes is the largest value that the platform stores, and the largest page of
// the instance list.
const MaxValueBytes = 1 << 20

// Value is a stored value. Revisions of the store rise with every write, unless the
// store is restored from an older copy.
type Value struct {
	Data     []byte
	Revision uint64
}

// InstanceList is the complete list of instances, sorted by ID, at a revision that
// totally orders the list's changes.
type InstanceList struct {
	Revision  uint64
	Instances []model.Instance
}

// Client reads and watches the platform. Every method makes one attempt and returns
// *NotModified or *Error; repeating and backing off are the caller's part.
// Implementations are safe for concurrent use.
type Client interface {
	// Read returns the current value of a key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the value of a key as soon as its revision is above after. It
	// returns *NotModified after the hold time, or at once when the store's revision is
	// below after, which happens after a restore. A store that answers out of order can
	// return a value whose revision is not above after.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// List returns the instance list if its revision is above after. Otherwise it
	// returns *NotModified, with wait only after the hold time.
	List(ctx context.Context, after uint64, wait bool) (InstanceList, error)
}

// NotModified reports that nothing newer than the requested revision exists.
type NotModified struct {
	// Revision is the platform's current revision of the key or list. A value below
	// the requested one means that the store is stale or was restored.
	Revision uint64
}

// Error names the current revision.
func (e *NotModified) Error() string {
	return fmt.Sprintf("not modified, current revision is %d; watch again", e.Revision)
}

// Kind classes the failures of a call to the platform.
type Kind string

// The kinds of failures.
const (
	Unavailable Kind = "unavailable"
	RateLimited Kind = "rate_limited"
	TooLarge    Kind = "too_large"
	Malformed   Kind = "malformed"
	NotFound    Kind = "not_found"
)

// remedies tells what to do about each kind.
var remedies = map[Kind]string{
	Unavailable: "check the platform service and the platform address in the settings; the last version stays in effect",
	RateLimited: "the platform refuses calls above its rate; the call is repeated after a pause",
	TooLarge:    "publish segments of at most 1 MB and manifests below that",
	Malformed:   "check that the platform address in the settings leads to the platform service",
	NotFound:    "publish a table: segments first, the manifest last",
}

// Error is a failed call to the platform.
type Error struct {
	Kind Kind
	// Op and Key name the call: read, watch or list.
	Op, Key string
	// Status is the HTTP status code, 0 if there was no answer.
	Status int
	// RetryAfter is the pause that the platform asks for, 0 if it names none.
	RetryAfter time.Duration
	// Err is the cause, nil if the status says it all.
	Err error
}

// Error names the call, the cause and the remedy.
func (e *Error) Error() string {
	cause := fmt.Sprintf("status %d", e.Status)
	if e.Err != nil {
		cause = e.Err.Error()
	}
	return fmt.Sprintf("platform %s %q: %s: %s; %s", e.Op, e.Key, e.Kind, cause, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
