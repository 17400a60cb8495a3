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
	// probeCheckInterval is the interval between checks for due probes.
	probeCheckInterval = 50 * time.Millisecond
	// probeTimeout is the timeout of a probe. It covers a round trip between regions and one
	// retransmitted packet.
	probeTimeout = 400 * time.Millisecond
)

// reachability tracks which hosts of other daemons are reachable. The placer asks it for each candidate.
// It is safe for concurrent use. It does not call the placer while its own mutex is locked, because the
// placer calls Unreachable while it is locked itself.
type reachability struct {
	ownHost string // host of this daemon
	client  *exchange.Client
	placer  *placement.Placer
	log     *zap.Logger

	mu        sync.Mutex
	monitor   *reach.Monitor
	addresses map[string]string // forward address of a daemon on each host
	isolated  bool
	// reportAt is the time of the next log line about unreachable hosts.
	reportAt time.Time
}

func newReachability(now time.Time, ownHost string, seed uint64, client *exchange.Client, placer *placement.Placer, log *zap.Logger) *reachability {
	r := &reachability{ownHost: ownHost, client: client, placer: placer, log: log, monitor: reach.New(now, seed), addresses: make(map[string]string)}
	placer.SetHosts(r)
	return r
}

// Unreachable implements placement.Hosts.
func (r *reachability) Unreachable(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.monitor.Unreachable(host)
}

// update sets the hosts to track from a new view of the fleet.
func (r *reachability) update(v *catalog.View) {
	now := time.Now()
	r.mu.Lock()
	clear(r.addresses)
	var hosts []string
	daemons := v.Daemons()
	for i := range daemons {
		inst := &daemons[i]
		if host := inst.Host(); host != r.ownHost && r.addresses[host] == "" {
			r.addresses[host] = inst.ForwardAddr
			hosts = append(hosts, host)
		}
	}
	forgotten := r.monitor.SetHosts(hosts)
	r.mu.Unlock()
	for _, e := range forgotten {
		r.log.Info("unreachable_daemon_unlisted", zap.String("host", e.Host), zap.Duration("after", now.Sub(e.Since)))
	}
}

// requestFailed records that a request to a daemon on the host got no response.
func (r *reachability) requestFailed(now time.Time, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.monitor.RequestFailed(now, host)
}

// markAlive records traffic from a daemon on the host: a response, or a request that it sent.
func (r *reachability) markAlive(now time.Time, host string) {
	r.mu.Lock()
	before, _ := r.monitor.Exclusion(host)
	recovered := r.monitor.MarkAlive(now, host)
	r.mu.Unlock()
	if recovered {
		r.log.Info("daemon_reachable", zap.String("host", host), zap.Duration("after", now.Sub(before.Since)))
		r.placer.HostRecovered(host)
	}
}

// probeFailed records that a probe of the host failed.
func (r *reachability) probeFailed(now time.Time, host string, err error) {
	r.mu.Lock()
	becameUnreachable := r.monitor.ProbeFailed(now, host, err.Error())
	r.mu.Unlock()
	if becameUnreachable {
		r.log.Info("daemon_unreachable", zap.String("host", host), zap.Error(err))
	}
}

// Isolated reports whether this daemon is isolated from all others.
func (r *reachability) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolated
}

// run probes suspect and unreachable hosts until the context ends.
func (r *reachability) run(ctx context.Context) {
	ticker := time.NewTicker(probeCheckInterval)
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

// tick starts the due probes and updates whether this daemon is isolated.
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
	report := r.dueReport(now)
	r.mu.Unlock()
	logUnreachable(r.log, now, report)
	if changed {
		r.log.Warn("isolation_changed", zap.Bool("isolated", isolated), zap.Int("unreachable", unreachable))
	}
	for i, host := range due {
		go r.probe(ctx, host, addresses[i])
	}
}

// probe requests a state newer than any revision. The peer has none, so that its response is cheap.
func (r *reachability) probe(ctx context.Context, host, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := r.client.Do(ctx, &exchange.Request{
		Address: address, Method: http.MethodGet, Target: statePath + "?newer=" + strconv.FormatUint(math.MaxUint64, 10), Host: address,
		MaxIdle: -1, // a new connection, since an idle one may be broken
	})
	if err != nil {
		r.probeFailed(time.Now(), host, err)
		return
	}
	resp.Release()
	r.markAlive(time.Now(), host)
}
