// Package dissemination decides how versions of the table, the membership and small
// published messages travel between daemons. It is a state machine: events and the time
// go in, actions come out. It opens no sockets and reads no clock.
package dissemination

import (
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

// Config configures a Core.
type Config struct {
	// Self is the daemon's own instance, with its incarnation.
	Self model.Instance
	// StoreRegion is the region of the platform's store.
	StoreRegion string
	// Verifier holds the operator's keys; nil requires no signatures.
	Verifier *snapshot.Verifier
	// Seed feeds the jitter.
	Seed uint64
	// Seeds are daemons that a new daemon asks first. Without seeds it reads the store.
	Seeds []model.Instance
	// FleetSize is the number of daemons assumed before the first instance list
	// arrives, default 1 plus the seeds. It spreads the reads of the store after a mass
	// restart.
	FleetSize int
	// Coalesce is the time for which a change waits for further ones before it
	// crosses the paid link; default 20 ms, negative for none.
	Coalesce time.Duration
}

// MaxPublish bounds the data of a Publish event, in bytes.
const MaxPublish = 4 << 10

// Core is the distribution state machine of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg Config
}

// New returns a Core.
func New(cfg Config) *Core { return &Core{cfg: cfg} }

// Handle processes an event at the given time and returns the actions to perform in order.
func (c *Core) Handle(now time.Time, ev Event) []Action { return nil }

// NextTick returns the time at which the runner sends Tick at the latest.
func (c *Core) NextTick() time.Time { return time.Time{} }
