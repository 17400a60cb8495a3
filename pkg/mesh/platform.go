// Package mesh implements the daemon for platforms that list instances and publish the route table
// in a store of their own. The daemon follows the store, places the requests of callers on
// instances and protects the upstream beside it from overload and from requests that crash it.
// Everything that is specific to such a platform is behind Platform.
package mesh

import (
	"context"
	"errors"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// ErrHistoryGone is returned by Store.Watch when the store no longer has the changes after a
// revision; the full state has to be read instead.
var ErrHistoryGone = errors.New("the store no longer has the changes after this revision; read its full state")

// ErrRestoredDuringRead is returned by Store.List if the parts of the full state belong to different eras.
var ErrRestoredDuringRead = errors.New("the responses to the read of the full state belong to different eras of the store; it is read again")

// Store reads the platform's store. The revisions of states and of their parts, and that of a watch, are positions
// (catalog.Position): the implementation adds the era of the store's response.
type Store interface {
	// List reads the full state. Its revision is that of the first page, so that a watch from it
	// includes all changes made during the read.
	List(ctx context.Context) (catalog.State, error)
	// Instances reads the listed instances without the route table, or a part of them if there
	// are many. The list may be seconds old. A starting daemon uses it to ask the instances' daemons
	// for the full state.
	Instances(ctx context.Context) ([]catalog.Instance, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty change
	// after the hold time. The store gets the revision without its era, so that a response of another era
	// tells nothing but that era. answering is called when the response begins to arrive.
	Watch(ctx context.Context, after uint64, hold time.Duration, answering func()) (catalog.State, error)
}

// Headers holds the names, in canonical form, of the HTTP headers that callers and upstreams of the
// platform use.
type Headers struct {
	// RequestID identifies a request; upstreams repeat it in their responses.
	RequestID string
	// Remaining is the time in milliseconds until the deadline: that of the caller in a request
	// to the daemon, that of the daemon in a request to the upstream.
	Remaining string
	// Proof marks responses that come from an upstream. A successful response without it is
	// handled as a failure.
	Proof string
	// Expected is the ID of the instance that a request is for; other instances refuse it.
	Expected string
	// Instance is the ID of the instance that responds.
	Instance string
	// NotRun marks an upstream's refusal of a request that has not run.
	NotRun string
	// Caller is the name of the service that a request comes from.
	Caller string
	// Load is the load of the upstream in the form "running,waiting,slots".
	Load string
	// Limit is the number of requests per second, as a decimal number, that the upstream takes from
	// all daemons together. It holds as long as the upstream's responses name it.
	Limit string
	// Leaving marks the responses of an upstream that is leaving: it must get no new requests.
	Leaving string
	// Cold is the remaining time in milliseconds, in the response to a request for the health path, for
	// which the upstream is cold: it then takes fewer requests per second.
	Cold string
}

// Platform holds everything that a daemon needs from the platform that it runs on.
type Platform struct {
	Store Store
	// Answers is the memory budget for all responses that the daemon holds, shared with the client
	// of the store. If it is nil, a budget from the settings applies to the responses of upstreams
	// and other daemons only.
	Answers *exchange.Budget
	Headers Headers
	// ReadyPath is the path of readiness probes.
	ReadyPath string
	// Parent returns the ID of the request whose run made the request with the given ID, if that
	// ID contains it. Parent may be nil.
	Parent func(id string) (parent string, ok bool)
}
