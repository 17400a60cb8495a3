// Package upstream guards the local upstream: quarantine, idempotency keys, rate limits,
// admission and the connections to it.
//
// A refusal says not-run only when no byte of the request was handed to a connection of the upstream,
// or when the upstream itself answered 503 with Mangoshed-Run: not-run. Every other failure is
// may-have-run.
package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/pkg/stream"
)

// defaultConnections is the number of connections that an upstream accepts by default.
const defaultConnections = 120

// Config configures a Guard.
type Config struct {
	Self model.Instance
	// Address is the upstream's TCP address as HOST:PORT.
	Address string
	// Connections bounds the connections to the upstream; default 120.
	Connections int
	// Admission sets slots, queue and ramp.
	Admission admission.Config
	// Idle bounds the time without a byte of a body in either direction; default 10 s.
	Idle time.Duration
	// MaxKeys and MaxAnswerBytes bound the registry of keys; 0 takes the defaults of core/once.
	MaxKeys, MaxAnswerBytes int
	// Dispatch sends a keyed request that this daemon owns to another instance when the table
	// gives the local data centre no weight. It gets the request with refusal.HeaderDispatch.
	Dispatch http.RoundTripper
	// Peers carries ownership messages; *forward.Client implements it.
	Peers Peers
	// Fresh reads the instance list from the platform. An instance owns keys only after it has.
	Fresh func(context.Context) (membership.View, error)
	// UniqueIDs says that the platform never lists an ID again after removing it. Only then may
	// a restarted instance own keys while the platform cannot be read; default false.
	UniqueIDs bool
	// Publish floods a quarantine report to all daemons; it may be nil and must not block.
	Publish func(data []byte)
	// Registry takes the metrics; nil for none.
	Registry prometheus.Registerer
	// Log is required.
	Log *zap.Logger
	// Dial opens connections to the upstream; default a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Guard stands in front of the local upstream. It implements http.RoundTripper and is safe for
// concurrent use.
type Guard struct {
	cfg        Config
	log        *zap.Logger
	metrics    *metrics
	pool       *pool
	keys       *keys
	mu         sync.Mutex
	queue      *admission.Queue
	limits     admission.Limits
	quarantine *quarantine.Table
	row        *table.Row
	local      table.Cell
	down       bool
	draining   bool
	exchange   exchange
	active     int
	idle       chan struct{}
	// stopping ends when a drain gives up the requests that still run.
	stopping context.Context
	giveUp   context.CancelFunc

	// ctx ends at Close.
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// New returns a guard that runs its timers until Close. It fails when the registry refuses
// the metrics.
func New(cfg Config) (*Guard, error) {
	if cfg.Connections == 0 {
		cfg.Connections = defaultConnections
	}
	if cfg.Idle == 0 {
		cfg.Idle = stream.IdleTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	now := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	g := &Guard{
		cfg: cfg, log: cfg.Log, metrics: newMetrics(), queue: admission.NewQueue(cfg.Admission, now),
		pool:       &pool{address: cfg.Address, limit: cfg.Connections, dial: cfg.Dial},
		quarantine: quarantine.NewTable(), ctx: ctx, stop: stop, idle: make(chan struct{}, 1),
	}
	g.keys = newKeys(g, now)
	g.stopping, g.giveUp = context.WithCancel(context.Background())
	if cfg.Registry != nil {
		if err := g.register(cfg.Registry); err != nil {
			stop()
			return nil, err
		}
	}
	g.tasks.Go(g.run)
	return g, nil
}

// Update takes the version in effect and the view of the instances.
func (g *Guard) Update(snap *snapshot.Snapshot, view membership.View) {
	now := time.Now()
	g.keys.setView(now, view, false)
	if snap == nil {
		return
	}
	row, ok := snap.Row(g.cfg.Self.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.row = nil
	if ok {
		g.row = row
		g.setLimits(now, snap.Table().Layout, view)
	}
}

// setLimits sets the shares of the limits of the own data centre and region.
func (g *Guard) setLimits(now time.Time, layout table.Layout, view membership.View) {
	place := g.cfg.Self.Place
	dataCentre := table.Cell{LimitPerSecond: table.NoLimit}
	region := dataCentre
	for i, p := range layout.DataCentres {
		if p == place {
			dataCentre = g.row.DataCentres[i]
		}
	}
	for i, name := range layout.Regions {
		if name == place.Region {
			region = g.row.Regions[i]
		}
	}
	g.local = dataCentre
	var inDataCentre, inRegion int
	for i := range view.Instances {
		other := &view.Instances[i]
		if other.Service != g.cfg.Self.Service || other.State != model.Live || other.Place.Region != place.Region {
			continue
		}
		inRegion++
		if other.Place == place {
			inDataCentre++
		}
	}
	g.limits.Set(now, share(dataCentre, inDataCentre), share(region, inRegion))
}

func share(cell table.Cell, live int) admission.Share {
	if cell.LimitPerSecond == table.NoLimit {
		return admission.Share{PerSecond: admission.NoLimit}
	}
	return admission.Share{PerSecond: float64(cell.LimitPerSecond), Live: max(1, live)}
}

// LoadNow returns the load of the local upstream.
func (g *Guard) LoadNow() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(time.Now())
}

// Load returns the value of refusal.HeaderLoad.
func (g *Guard) Load() string {
	load := g.LoadNow()
	return fmt.Sprintf("%d/%d/%d", load.InFlight, load.Slots, load.Queued)
}

// RoundTrip runs a request of this instance's service, or returns a *refusal.Refusal. The
// context's deadline is the request's. The answer's body must be closed.
func (g *Guard) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, refused := g.roundTrip(req)
	if refused != nil {
		closeBody(req)
		g.metrics.requests.WithLabelValues(string(refused.Kind), refused.Run.String()).Inc()
		return nil, refused
	}
	g.metrics.requests.WithLabelValues("answered", "").Inc()
	return resp, nil
}

func (g *Guard) roundTrip(req *http.Request) (*http.Response, *refusal.Refusal) {
	g.mu.Lock()
	row, draining := g.row, g.draining
	g.mu.Unlock()
	if service := req.Header.Get(refusal.HeaderService); service != "" && service != g.cfg.Self.Service {
		return nil, notRun(refusal.NoInstance, "this daemon runs beside another service; send the request to an instance of "+service)
	}
	if row == nil {
		return nil, notRun(refusal.NoService, "add the service to the table, or wait until the daemon has a version")
	}
	if row.MayRepeat(req.Method) {
		return g.runLocal(req, admission.Repeatable)
	}
	if g.keys.paused() {
		return nil, notRun(refusal.NotOwner, "the daemon was paused and checks its view; try again")
	}
	if key := req.Header.Get(refusal.HeaderKey); key != "" && req.Header.Get(refusal.HeaderDispatch) == "" {
		return g.runKeyed(req, key, draining)
	}
	return g.runLocal(req, admission.NonRepeatable)
}

// Close ends the timers and the idle connections.
func (g *Guard) Close() {
	g.keys.mu.Lock()
	g.stop() // under the lock, so that no message starts afterwards
	g.keys.mu.Unlock()
	g.tasks.Wait()
	g.pool.close()
}

func notRun(kind refusal.Kind, remedy string) *refusal.Refusal {
	return &refusal.Refusal{Kind: kind, Run: refusal.NotRun, Remedy: remedy}
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}
