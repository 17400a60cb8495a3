package mesh

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/reach"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// reachTick is the period of looks for hosts to probe.
	reachTick = 50 * time.Millisecond
	// reachTimeout bounds a probe: a way between regions and back, and one packet sent again.
	reachTimeout = 400 * time.Millisecond
)

// reachability keeps which daemons answer, and tells the placer. It is safe for concurrent use.
type reachability struct {
	own    string // host
	client *exchange.Client
	placer *placement.Placer
	log    *zap.Logger

	mu        sync.Mutex
	monitor   *reach.Monitor
	addresses map[string]string // forward address by host
	isolated  bool
}

func newReachability(now time.Time, own string, seed uint64, client *exchange.Client, placer *placement.Placer, log *zap.Logger) *reachability {
	return &reachability{own: own, client: client, placer: placer, log: log, monitor: reach.New(now, seed), addresses: make(map[string]string)}
}

// update takes a new view of the fleet.
func (r *reachability) update(v *catalog.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.addresses)
	var hosts []string
	for i := range v.Instances {
		inst := &v.Instances[i]
		if host := inst.Host(); host != r.own && r.addresses[host] == "" {
			r.addresses[host] = inst.ForwardAddr
			hosts = append(hosts, host)
		}
	}
	r.monitor.SetHosts(hosts)
}

// failed takes a request to a daemon that got no answer.
func (r *reachability) failed(now time.Time, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.monitor.RequestFailed(now, host)
}

// heard takes a sign of another daemon.
func (r *reachability) heard(now time.Time, host string) {
	r.mu.Lock()
	back := r.monitor.MarkAlive(now, host)
	r.mu.Unlock()
	if back {
		r.log.Info("daemon_reachable", zap.String("host", host))
		r.placer.SetReachable(host, true)
	}
}

// silent takes a probe without an answer.
func (r *reachability) silent(now time.Time, host string, err error) {
	r.mu.Lock()
	lost := r.monitor.ProbeFailed(now, host)
	r.mu.Unlock()
	if lost {
		r.log.Info("daemon_unreachable", zap.String("host", host), zap.Error(err))
		r.placer.SetReachable(host, false)
	}
}

// Isolated reports whether the daemon is cut off from all others.
func (r *reachability) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolated
}

// run probes hosts until the context ends.
func (r *reachability) run(ctx context.Context) {
	ticker := time.NewTicker(reachTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.tick(ctx, now)
		}
	}
}

// tick starts the probes that are due and notices whether the daemon is cut off.
func (r *reachability) tick(ctx context.Context, now time.Time) {
	r.mu.Lock()
	due := r.monitor.DueProbes(now)
	addresses := make([]string, len(due))
	for i, host := range due {
		addresses[i] = r.addresses[host]
	}
	isolated := r.monitor.Isolated(now)
	changed := isolated != r.isolated
	r.isolated = isolated
	unreachable := r.monitor.UnreachableCount()
	r.mu.Unlock()
	if changed {
		r.log.Warn("isolation_changed", zap.Bool("isolated", isolated), zap.Int("unreachable", unreachable))
	}
	for i, host := range due {
		go r.probe(ctx, host, addresses[i])
	}
}

// probe asks a daemon for a state that it cannot have, which costs it next to nothing.
func (r *reachability) probe(ctx context.Context, host, address string) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	resp, err := r.client.Do(ctx, &exchange.Request{
		Address: address, Method: http.MethodGet, Target: statePath + "?newer=" + strconv.FormatUint(math.MaxUint64, 10), Host: address,
		MaxIdle: -1, // an idle connection may be the one that has gone silent
	})
	if err != nil {
		r.silent(time.Now(), host, err)
		return
	}
	resp.Release()
	r.heard(time.Now(), host)
}
