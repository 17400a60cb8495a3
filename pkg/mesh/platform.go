// Package mesh is the daemon for platforms that list instances and publish the route table in
// a store of their own: it follows the store, places the requests of callers on instances, and
// guards the upstream beside it. All that such a platform names and spells is behind Platform.
package mesh

import (
	"context"
	"errors"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// ErrHistoryGone is returned by Store.Watch when the changes after a revision are not kept any
// more; the state has to be read as a whole.
var ErrHistoryGone = errors.New("the store does not keep the changes after this revision; read its whole state")

// Store reads the platform's store.
type Store interface {
	// List reads the whole state. The revision is that of the first page, so that changes made
	// while it is read are seen again by a watch.
	List(ctx context.Context) (catalog.State, error)
	// Instances reads the listed instances without the table, or a part of them if there are
	// many. It tells a daemon that starts whom it can ask for the rest.
	Instances(ctx context.Context) ([]catalog.Instance, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty change
	// after the hold time. answering is called when the answer begins to arrive.
	Watch(ctx context.Context, after uint64, hold time.Duration, answering func()) (catalog.State, error)
}

// Headers name the HTTP headers that callers and upstreams of the platform use, in canonical form.
type Headers struct {
	// RequestID identifies a request; upstreams repeat it in their answers.
	RequestID string
	// Remaining is the time in milliseconds that the caller, then the daemon, will still wait.
	Remaining string
	// Proof marks answers that an upstream made; a success without it is none.
	Proof string
	// Expected names the instance that shall run a request; others refuse it.
	Expected string
	// Instance names the instance that answers.
	Instance string
	// NotRun marks an upstream's refusal of a request that it has not run.
	NotRun string
	// Caller names the service that a request comes from.
	Caller string
	// Load is the load of the upstream as running, waiting and slots.
	Load string
}

// Platform is what a daemon needs of its platform.
type Platform struct {
	Store Store
	// Answers is the budget for all answers that are held at once, if the store's are counted as
	// well; nil takes that of the settings for the others.
	Answers *exchange.Budget
	Headers Headers
	// ReadyPath is the path of readiness probes.
	ReadyPath string
	// Parent returns the ID of the request whose run makes a request, if the ID of that tells;
	// it may be nil.
	Parent func(id string) (parent string, ok bool)
}
