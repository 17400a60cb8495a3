package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/pkg/exchange"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

const (
	// headerTimeout is the timeout for reading a request's header, and idleTimeout that for the next
	// request on a connection, for connections of callers as long as no table sets others.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// callerAddressKey is the settings key of the listen address for callers, and the name of its server.
	callerAddressKey = "caller_address"
	// maxHeaderBytes bounds a request's header before the limit of the route table is checked.
	maxHeaderBytes = 256 << 10
	// callerUserTimeout is the TCP user timeout: a connection is closed if sent data remains
	// unacknowledged for that long.
	callerUserTimeout = 3 * time.Second
	// tickInterval is the interval of housekeeping.
	tickInterval = 250 * time.Millisecond
	// pauseThreshold is how much longer than tickInterval the time between two ticks may be,
	// suspended time included, before the process counts as paused and its view of the fleet as
	// stale.
	pauseThreshold = 700 * time.Millisecond
	// pruneTicks is the number of ticks between two prunings of idle connections.
	pruneTicks = 8
	// logBufferLines is the number of log lines that are buffered while the log's reader is slow.
	logBufferLines = 512
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory limit in the
	// settings.
	memoryLimitRatio = 0.7
)

// Daemon places the requests of callers on instances of the fleet and runs the jobs of other
// daemons on the local upstream.
type Daemon struct {
	settings *Settings
	platform Platform
	log      *zap.Logger
	registry *prometheus.Registry
	metrics  *metrics

	fleet    *Fleet
	guard    *Guard
	placer   *placement.Placer
	budget   *retry.FleetBudget
	sender   *Sender
	ingress  *Ingress
	follower *Follower
	feed     *feedServer
	bodies   *bodyBudget
	reach    *reachability

	jobs     atomic.Int64 // number of jobs of other daemons whose results are not written yet
	servers  []*server
	ready    atomic.Bool
	stopping atomic.Bool
	draining chan struct{} // closed when the daemon starts to drain
	seeds    atomic.Pointer[[]string]
	tasks    sync.WaitGroup
	stop     context.CancelFunc // stops the background tasks
	// requestsCtx is the parent of the contexts of all requests. cancelRequests cancels it, with
	// the cause errProcessEnds at the end of a drain.
	requestsCtx    context.Context
	cancelRequests context.CancelCauseFunc
}

// SocketError reports a listen address that cannot be bound.
type SocketError struct {
	Key     string
	Address string
	Err     error
}

// Error names the settings key, the address and the remedy.
func (e *SocketError) Error() string {
	return fmt.Sprintf("listen.%s %s: %v; check that the address is this machine's and that the port is free", e.Key, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// New binds the daemon's sockets and creates its components. Nothing is served before Start.
func New(s *Settings, p Platform, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, platform: p, log: log, registry: telemetry.NewRegistry(), draining: make(chan struct{})}
	d.setSeeds(s)
	d.requestsCtx, d.cancelRequests = context.WithCancelCause(context.Background())
	if d.platform.Answers == nil {
		d.platform.Answers = s.Limits.ResponseBudget()
	}
	var err error
	if d.metrics, err = newMetrics(d.registry); err != nil {
		return nil, err
	}
	d.build()
	if err := registerGuard(d.registry, d.guard); err != nil {
		return nil, err
	}
	if err := registerFleet(d.registry, d.fleet); err != nil {
		return nil, err
	}
	if err := registerBodies(d.registry, d.bodies); err != nil {
		return nil, err
	}
	if err := d.registry.Register(newUnreachableCollector(d.reach)); err != nil {
		return nil, err
	}
	if err := d.bind(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// build creates the components.
func (d *Daemon) build() {
	s := d.settings
	now := time.Now()
	log := newRequestLog(d.log, s.Limits.LogLinesPerSecond)
	seed := uint64(now.UnixNano()) ^ uint64(os.Getpid())<<48
	d.bodies = newBodyBudget(&s.Limits, d.platform.Answers)
	d.fleet = NewFleet(d.log, d.applyView)
	d.guard = NewGuard(s.Upstream.Address, d.platform.Headers, d.platform.Answers, log)
	d.guard.region = s.Instance.Region
	d.guard.dataCentre = s.Instance.DataCentre
	d.guard.SetColdBounds(s.Instance.Service, s.Bounds.ColdRatio, s.Bounds.ColdAllowance)
	d.placer = placement.New(s.Place(), placement.DefaultCosts, seed)
	d.placer.SetLink(hostOf(s.Listen.ForwardAddress), s.Limits.LinkMbps*1e6)
	d.placer.SetStayShare(s.Placement.StayShare)
	d.budget = retry.NewFleetBudget(retry.FleetRules{
		Ratio: s.Bounds.RetryRatio, Allowance: s.Bounds.RetryAllowance, Window: s.Bounds.RetryWindow,
	}, now)
	d.sender = NewSender(s.Listen.ForwardAddress, s.Instance.Region, d.guard, d.fleet, d.platform.Answers, func() []string { return *d.seeds.Load() })
	d.reach = newReachability(now, hostOf(s.Listen.ForwardAddress), seed, d.sender.client, d.placer, d.log)
	d.sender.reach = d.reach
	d.ingress = &Ingress{
		requestsCtx: d.requestsCtx, service: s.Instance.Service, parent: d.platform.Parent, headers: d.platform.Headers, fleet: d.fleet, placer: d.placer, sender: d.sender,
		budget: d.budget, metrics: d.metrics, log: log, bodies: d.bodies, random: random{src: rand.New(rand.NewPCG(seed, uint64(os.Getpid())))},
	}
	d.follower = &Follower{
		Store: d.platform.Store, Fleet: d.fleet, Peers: d.sender, Log: d.log, Region: s.Instance.Region, OwnAddr: s.Listen.ForwardAddress,
		Decline: s.Limits.belowReaderMinimum(), Seed: len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.Listen.SeedAddress),
		Calls: func(call, outcome string) { d.metrics.storeCalls.WithLabelValues(call, outcome).Inc() },
	}
	d.sender.states.age = d.follower.Age
	d.feed = &feedServer{
		fleet: d.fleet, age: d.follower.Age, reader: d.follower.Reader, decline: s.Limits.belowReaderMinimum(), declined: &d.follower.declined, stopped: d.draining,
	}
}

// hostOf returns the host of an IP:PORT address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "" // addresses in the settings are validated, and remote addresses always have a port
	}
	return host
}

// applyView passes a new view of the fleet to the components. The daemon is ready once a view has a
// route table.
func (d *Daemon) applyView(now time.Time, v *catalog.View) {
	d.logEvacuations(d.fleet.View(), v)
	d.guard.Update(now, v)
	d.placer.Update(now, v)
	d.reach.update(v)
	d.budget.SetDaemons(len(v.Daemons()))
	if v.Table != nil && !d.ready.Swap(true) {
		d.log.Info("daemon_ready", zap.Uint64("version", v.Table.Version), positionField(v.Revision))
		d.guard.logInstance(d.log)
	}
}

// bind opens the listeners and creates a server for each.
func (d *Daemon) bind() error {
	l := d.settings.Listen
	peers := http.HandlerFunc(d.servePeer)
	for _, s := range [...]struct {
		key, address string
		handler      http.Handler
		head, idle   time.Duration
		peers        bool
	}{
		{callerAddressKey, l.CallerAddress, d.ingress, lastHeaderTimeout, lastIdleTimeout, false},
		{"forward_address", l.ForwardAddress, peers, headerTimeout, peerServerIdle, true},
		{"ready_address", l.ReadyAddress, http.HandlerFunc(d.serveReady), lastHeaderTimeout, lastIdleTimeout, false},
		{"seed_address", l.SeedAddress, peers, headerTimeout, peerServerIdle, true},
		{"admin_address", l.AdminAddress, d.adminHandler(), lastHeaderTimeout, lastIdleTimeout, false},
	} {
		if s.address == "" {
			continue
		}
		listener, err := listen(s.address)
		if err != nil {
			return &SocketError{Key: s.key, Address: s.address, Err: err}
		}
		server := newServer(s.key, listener, &http.Server{
			Handler: boundBodies(s.handler), MaxHeaderBytes: maxHeaderBytes, ErrorLog: d.errorLog(s.key),
			ReadHeaderTimeout: s.head, WriteTimeout: maxExchangeTime, IdleTimeout: s.idle,
			DisableGeneralOptionsHandler: true, ConnContext: withConnection, BaseContext: func(net.Listener) context.Context { return d.requestsCtx },
		})
		if s.key == callerAddressKey {
			server.Pipelining = d.ingress.pipelining(d.settings.Limits.PipelinedRequests)
		}
		if !s.peers {
			d.boundServer(server)
		}
		d.servers = append(d.servers, server)
	}
	return registerServers(d.registry, d.servers)
}

// listen opens a listener whose connections fail when sent data remains unacknowledged.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		// No keep-alive probes: they cost four system calls for each connection, and the idle
		// timeout closes connections whose caller no longer responds.
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return exchange.SetUserTimeout(raw, callerUserTimeout)
		},
	}
	return config.Listen(context.Background(), "tcp4", address)
}

func (d *Daemon) closeListeners() {
	for _, s := range d.servers {
		_ = s.listener.Close()
	}
}

// Start begins to serve callers, other daemons and the platform's readiness probes, and starts the
// background tasks.
func (d *Daemon) Start() {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for _, s := range d.servers {
		d.tasks.Go(func() { s.serve(d.log) })
	}
	d.tasks.Go(func() { d.follower.Run(ctx) })
	d.tasks.Go(func() { d.housekeep(ctx) })
	d.tasks.Go(func() { d.reach.run(ctx) })
	d.tasks.Go(func() { d.guard.watchHealth(ctx) })
	d.tasks.Go(func() { d.sender.announceSuspects(ctx, d.log) })
	d.log.Info("daemon_started", zap.String("service", d.settings.Instance.Service), zap.String("place", d.settings.Place().String()),
		zap.String("caller_address", d.settings.Listen.CallerAddress), zap.String("forward_address", d.settings.Listen.ForwardAddress),
		zap.String("upstream_address", d.settings.Upstream.Address))
}

// housekeep periodically expires stale parts of the view, prunes idle connections and detects
// pauses of the process.
func (d *Daemon) housekeep(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick, lastBoot := time.Now(), bootTime()
	var refusedBodies, stalledBodies int64
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, boot := time.Now(), bootTime()
		if gap := max(boot-lastBoot, now.Sub(lastTick)); gap > tickInterval+pauseThreshold {
			d.log.Warn("process_paused", zap.Duration("gap", gap), positionField(d.fleet.View().Revision))
			d.fleet.ProcessResumed()
		}
		lastTick, lastBoot = now, boot
		d.fleet.Expire(now)
		d.sweepServers(now)
		d.bodies.logChanges(d.log, &refusedBodies, &stalledBodies)
		if n%pruneTicks == 0 {
			d.sender.Prune(now)
			d.guard.client.Prune(now, func(string) bool { return true })
			d.guard.cold.client.Prune(now, func(string) bool { return true })
		}
	}
}

// bootTime returns the time since boot, suspended time included.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // without this clock, a suspension is not detected, but a pause between ticks still is
	}
	return time.Duration(t.Nano())
}

// servePeer handles requests of other daemons. It runs jobs, each of which is one attempt of a
// request, and passes requests that are not jobs to servePeerCall.
func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if r.Header.Get(headerJob) == "" && isPeerCall(r.URL.Path) {
		d.servePeerCall(w, r)
		return
	}
	j, from, ok := decodeJob(r, now)
	if !ok {
		http.Error(w, "this address accepts requests of other daemons only; send requests of callers to "+d.settings.Listen.CallerAddress, http.StatusForbidden)
		return
	}
	d.jobs.Add(1)
	defer d.jobs.Add(-1)
	d.fleet.ObserveRevision(now, from.revision)
	d.reach.markAlive(now, hostOf(r.RemoteAddr))
	peerBlocks := d.guard.suspects.mergeGossip(now, from.gossip)
	j.ID = r.Header.Get(d.platform.Headers.RequestID)
	j.HasBody = r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
	held := d.bodies.open(w, r)
	defer held.release()
	j.ReadBody = func(by time.Time) ([]byte, error) {
		body, refused, err := readBody(w, r, held, 0, by)
		if refused != nil {
			return nil, jobRefusal(refused)
		}
		return body, err
	}
	refused := held.takeHead(r)
	if refused == nil {
		refused = held.announced(r.ContentLength)
	}
	if refused != nil {
		dropBody(w)
		d.writePeerResult(w, r, j, Result{Refusal: jobRefusal(refused), Load: d.guard.Load(), bodyLate: true}, now, peerBlocks)
		return
	}
	if r.Header.Get("Expect") == "" {
		// The sender does not wait for "100 Continue" before it sends the body.
		body, err := j.ReadBody(j.Deadline)
		if res := d.bodyResult(r, err); res != nil {
			d.writePeerResult(w, r, j, *res, now, peerBlocks)
			return
		}
		j.Body, j.ReadBody = body, nil
	}
	j.Disconnected = func() bool { return senderDisconnected(r) }
	res := d.guard.Run(r.Context(), j)
	if j.ReadBody != nil {
		dropBody(w) // the sender does not send the body of a job that was refused before it
	}
	d.writePeerResult(w, r, j, res, now, peerBlocks)
}

// bodyResult returns the result of a job whose body could not be read before admission; nil without an
// error. It aborts the response if the sender has disconnected.
func (d *Daemon) bodyResult(r *http.Request, err error) *Result {
	var refused *refusal.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return &Result{Refusal: refused, Load: d.guard.Load(), bodyLate: true}
	case processEnds(r.Context()):
		return &Result{Refusal: notRun(refusal.Leaving, "the daemon stopped before the whole body of the request had arrived", 0), Load: d.guard.Load()}
	case errors.Is(err, errBodyLate):
		return &Result{Refusal: notRun(refusal.Cut, bodyLateRemedy, 0), Load: d.guard.Load(), bodyLate: true}
	}
	panic(http.ErrAbortHandler)
}

// writePeerResult writes the result of a job of another daemon. arrived is when the job arrived,
// peerBlocks the digest of what that daemon blocks.
func (d *Daemon) writePeerResult(w http.ResponseWriter, r *http.Request, j *Job, res Result, arrived time.Time, peerBlocks quarantine.Digest) {
	if r.Context().Err() != nil && !processEnds(r.Context()) && !res.bodyLate {
		res.Response.Release()
		panic(http.ErrAbortHandler)
	}
	if d.guard.Stopped() {
		// The connection is closed, so that no job is sent on it while the daemon closes it:
		// that job would count as one that may have run.
		w.Header().Set("Connection", "close")
	}
	boundWrite(w, j.Deadline)
	from := peerInfo{d.fleet.View().Revision, d.guard.suspects.gossip(time.Now(), peerBlocks)}
	if err := writeResult(w, &res, from, time.Since(arrived), j.Deadline); err != nil {
		d.ingress.log.logNotTaken(j.ID, "daemon", res.Response, err)
	}
}

// servePeerCall handles requests of other daemons that are not jobs: for the full state, for a
// feed, and the announcements of a daemon's end and of requests that crash upstreams.
func (d *Daemon) servePeerCall(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case statePath:
		d.sender.serveState(w, r)
	case feedPath:
		d.feed.ServeHTTP(w, r)
	case endsPath:
		d.serveEnds(w, r)
	case suspectsPath:
		d.serveSuspects(w, r)
	default:
		http.NotFound(w, r)
	}
}

// serveReady handles the platform's readiness probes.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != d.platform.ReadyPath:
		http.NotFound(w, r)
	case d.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		http.Error(w, "the daemon has no route table yet, is stopping, or cannot reach any other daemon", http.StatusServiceUnavailable)
	}
}

// Ready reports whether callers may send new requests. A daemon that cannot reach any other is not
// ready, because it could only serve requests for its own upstream.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.stopping.Load() && !d.reach.Isolated() }

// adminHandler serves the metrics and the status to operators.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /v1/status", d.serveStatus)
	return mux
}

// Reload applies changed settings. Only the seeds can change without a restart.
func (d *Daemon) Reload(s *Settings) {
	d.setSeeds(s)
	d.log.Info("settings_reloaded", zap.Int("seeds", len(s.Seeds)))
}

// setSeeds replaces the seeds by those of the settings, without this daemon itself.
func (d *Daemon) setSeeds(s *Settings) {
	own := d.settings.Listen.SeedAddress
	seeds := slices.DeleteFunc(slices.Clone(s.Seeds), func(address string) bool { return own != "" && address == own })
	d.seeds.Store(&seeds)
}

// Close stops the daemon immediately, without draining, and aborts the requests in flight.
func (d *Daemon) Close() {
	d.stop()
	d.cancelRequests(context.Canceled)
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.tasks.Wait()
}

// NewLogger returns the daemon's logger, whose writer never blocks, and a function that flushes
// the buffered lines and closes the writer.
func NewLogger(out io.Writer, level string) (*zap.Logger, func(), error) {
	writer := telemetry.NewBoundedWriter(out, logBufferLines)
	log, err := telemetry.NewLogger(writer, level)
	return log, writer.Close, err
}

// tuneMemory sets the Go runtime's memory limit from the limit in the settings, unless GOMEMLIMIT
// is set. GOGC stays at its default: the live heap is a few megabytes, and with a daemon beside
// each upstream, a larger heap would take memory at all times.
func tuneMemory(limitMB int) {
	if limitMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(limitMB<<20)))
	}
}
