// Package daemon joins the parts of one daemon: distribution, the ingress for callers,
// the guard of the local upstream, calls between daemons and the admin server.
package daemon

import (
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"mangoshed.example/mangoshed/core/dissemination"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/closing"
	"mangoshed.example/mangoshed/pkg/distribution"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/operator"
	"mangoshed.example/mangoshed/pkg/peer"
	"mangoshed.example/mangoshed/pkg/platform"
	"mangoshed.example/mangoshed/pkg/settings"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// Config configures a Daemon.
type Config struct {
	Settings *settings.Settings
	Identity *identity.Source
	Platform platform.Client
	Log      *zap.Logger
	// OnApply is called with each version that comes into effect; it may be nil and must
	// not block.
	OnApply func(model.Version)
}

// SocketError reports an address that cannot be bound.
type SocketError struct {
	Key     string
	Address string
	Err     error
}

// Error names the settings key, the address and the remedy.
func (e *SocketError) Error() string {
	return fmt.Sprintf("listen.%s %s: %v; check that the address is this instance's and that the port is free", e.Key, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// Daemon is one running daemon. Its methods are safe for concurrent use.
type Daemon struct {
	cfg      Config
	self     model.Instance
	started  time.Time
	log      *zap.Logger
	registry *prometheus.Registry
	trail    *audit.Trail

	transport *peer.Transport
	runner    *distribution.Runner
	calls     *calls
	admin     *operator.Server

	callerListener  net.Listener
	tlsListener     net.Listener // nil without listen.caller_tls_address
	forwardListener net.Listener

	applied atomic.Pointer[appliedVersion]
	leaving atomic.Bool
	// drainRequested is closed by the first request of the admin server to drain.
	drainRequested chan struct{}
	requestDrain   sync.Once
	drain          sync.Once
	tasks          sync.WaitGroup
	stop           context.CancelFunc
}

// appliedVersion describes the version in effect for the status.
type appliedVersion struct {
	snapshot *snapshot.Snapshot
	at       time.Time
}

// New binds the daemon's sockets and builds its parts; port 0 in an address takes a free
// port. Nothing is served before Start. The error names the remedy.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, log: cfg.Log, started: time.Now(), registry: telemetry.NewRegistry(),
		trail:          audit.NewTrail(cfg.Log, cfg.Settings.Limits.AuditEntries),
		drainRequested: make(chan struct{}),
	}
	if err := d.checkCertificate(); err != nil {
		return nil, err
	}
	if err := d.bind(); err != nil {
		d.closeSockets()
		return nil, err
	}
	if err := d.build(); err != nil {
		d.closeSockets()
		return nil, err
	}
	return d, nil
}

// bind opens all sockets, so that the instance's addresses are known before it is
// announced.
func (d *Daemon) bind() error {
	s := d.cfg.Settings
	d.self = s.Self()
	d.self.Incarnation = uint64(d.started.UnixMilli())
	var err error
	if d.callerListener, err = listen("caller_address", s.Listen.CallerAddress); err != nil {
		return err
	}
	if d.tlsListener, err = listenOptional("caller_tls_address", s.Listen.CallerTLSAddress); err != nil {
		return err
	}
	if d.forwardListener, err = listen("forward_address", s.Listen.ForwardAddress); err != nil {
		return err
	}
	d.transport, err = peer.New(peer.Config{Self: d.self, Listen: s.Listen.ControlAddress, Identity: d.cfg.Identity, Log: d.log})
	if err != nil {
		return err
	}
	d.self.ForwardAddr = d.forwardListener.Addr().String()
	d.self.ControlAddr = d.transport.Addr()
	return nil
}

func listen(key, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &SocketError{Key: key, Address: address, Err: err}
	}
	return listener, nil
}

// listenOptional returns nil for an empty address.
func listenOptional(key, address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return listen(key, address)
}

func (d *Daemon) closeSockets() {
	for _, listener := range []net.Listener{d.callerListener, d.tlsListener, d.forwardListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if d.transport != nil {
		d.transport.Shutdown(context.Background())
	}
}

// build creates the parts over the bound sockets.
func (d *Daemon) build() error {
	s := d.cfg.Settings
	verifier, err := s.Verifier()
	if err != nil {
		return err
	}
	d.runner = distribution.New(distribution.Config{
		Core: dissemination.Config{
			Self: d.self, StoreRegion: s.Platform.Region, Verifier: verifier,
			Seed: d.self.Incarnation, Seeds: s.SeedInstances(),
		},
		Transport: d.transport, Platform: d.cfg.Platform, Trail: d.trail, Log: d.log, Registry: d.registry,
		OnApply:   d.onApply,
		OnMembers: d.onMembers,
		OnStale:   func(stale bool) { d.calls.setStale(stale) },
		OnDeliver: func(topic string, data []byte, _ model.InstanceID) { d.calls.deliver(topic, data) },
	})
	if d.calls, err = newCalls(d); err != nil {
		return err
	}
	if err := d.registerMetrics(); err != nil {
		return err
	}
	d.admin, err = operator.NewServer(s.Listen.AdminAddress, adminView{d}, d.registry)
	return err
}

// onApply shows a version in the status only once calls are routed by it.
func (d *Daemon) onApply(current, _ *snapshot.Snapshot) {
	d.calls.update(current, d.runner.Members())
	d.applied.Store(&appliedVersion{snapshot: current, at: time.Now()})
	if d.cfg.OnApply != nil {
		d.cfg.OnApply(current.Version())
	}
}

func (d *Daemon) onMembers(view membership.View) {
	d.calls.update(d.runner.Snapshot(), view)
}

// Start serves callers, other daemons and operators.
func (d *Daemon) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	if err := d.runner.Start(); err != nil {
		stop()
		return err
	}
	limit := d.cfg.Settings.Limits.CallerConnections
	d.serve("callers", func() error { return d.calls.callers.Serve(closing.Limit(d.callerListener, limit)) })
	if d.tlsListener != nil {
		d.serve("callers_tls", func() error { return d.calls.callers.ServeTLS(netutil.LimitListener(d.tlsListener, limit)) })
	}
	d.serve("forward", func() error { return d.calls.forwardServer.Serve(d.forwardListener) })
	d.serve("admin", d.admin.Serve)
	d.tasks.Go(func() { d.reloadCertificates(ctx) })
	d.log.Info("daemon_started",
		zap.String("instance", string(d.self.ID)), zap.String("service", d.self.Service), zap.String("place", d.self.Place.String()),
		zap.String("caller_address", d.CallerAddr()), zap.String("control_address", d.self.ControlAddr),
		zap.String("forward_address", d.self.ForwardAddr), zap.String("admin_address", d.AdminAddr()))
	return nil
}

func (d *Daemon) serve(name string, serve func() error) {
	d.tasks.Go(func() {
		if err := serve(); err != nil {
			d.log.Error("server_failed", zap.String("server", name), zap.Error(err))
		}
	})
}

// Drain announces that the instance is leaving, refuses new work as not run, waits for
// running calls until ctx ends, and stops the daemon. It returns an error when calls were
// still running at the end. Further calls of Drain do nothing.
func (d *Daemon) Drain(ctx context.Context) error {
	var err error
	d.drain.Do(func() { err = d.drainOnce(ctx) })
	return err
}

func (d *Daemon) drainOnce(ctx context.Context) error {
	d.leaving.Store(true)
	d.log.Info("daemon_leaving", zap.String("instance", string(d.self.ID)))
	d.runner.Leave()
	err := d.calls.drain(ctx)
	d.stop()
	d.runner.Shutdown(ctx)
	d.admin.Shutdown(ctx)
	d.calls.close()
	d.tasks.Wait()
	d.log.Info("daemon_stopped", zap.String("instance", string(d.self.ID)), zap.Bool("complete", err == nil))
	return err
}

// Kill stops the daemon without notice and cuts what runs; tests and the demo use it to
// bring about a failure.
func (d *Daemon) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.drain.Do(func() {
		d.stop()
		d.runner.Kill()
		d.calls.close()
		d.admin.Shutdown(ctx)
		d.tasks.Wait()
	})
}

// DrainRequested is closed when an operator asks for a drain over the admin server.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drainRequested }

// Self returns the instance with its bound addresses.
func (d *Daemon) Self() model.Instance { return d.self }

// CallerAddr returns the TCP address for callers.
func (d *Daemon) CallerAddr() string { return d.callerListener.Addr().String() }

// AdminAddr returns the TCP address of the admin server.
func (d *Daemon) AdminAddr() string { return d.admin.Addr() }

// Ready reports whether the daemon takes new work.
func (d *Daemon) Ready() bool { return d.runner.Ready() && !d.leaving.Load() }

// Version returns the version in effect, 0 before the first one.
func (d *Daemon) Version() model.Version {
	if s := d.runner.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// Role returns the daemon's role in distribution.
func (d *Daemon) Role() distribution.Role { return d.runner.Role() }

// Traffic returns the control bytes on the wire since the start.
func (d *Daemon) Traffic() peer.Traffic { return d.transport.Traffic() }

// Links returns the number of open control links.
func (d *Daemon) Links() int { return d.transport.Links() }

// errorLog returns a logger for the errors of an HTTP server's connections.
func (d *Daemon) errorLog(server string) *log.Logger {
	std, err := zap.NewStdLogAt(d.log.With(zap.String("server", server)), zap.DebugLevel)
	if err != nil {
		return nil
	}
	return std
}
