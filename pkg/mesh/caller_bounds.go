package mesh

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/closing"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

const (
	// reservedDescriptors are kept free for files: the machines of the operators reserve that many.
	reservedDescriptors = 200
	// callerConnectionShare is the share of the other descriptors for connections of callers. The rest serves the
	// connections to and from upstreams, the store and other daemons. probeConnectionShare, of at most
	// maxProbeConnections, is that of the readiness address, and of the admin address.
	callerConnectionShare = 0.5
	probeConnectionShare  = 1. / 16
	maxProbeConnections   = 64
	minConnections        = 8
	// maxHeaderFields bounds the fields of a request's header: each costs several hundred bytes in memory, however
	// short it is.
	maxHeaderFields = 256
	// heldHeadsShare is the share of the memory limit for the heads of requests that are arriving, without the
	// first 4 kB of each; minHeldHeads is its minimum, and its value without a memory limit is defaultHeldHeads.
	heldHeadsShare   = 1. / 32
	minHeldHeads     = 1 << 20
	defaultHeldHeads = 64 << 20
	// lineBytes are the bytes of a header field that the limit of the table does not count: the colon, the space
	// and the end of the line. requestLineBytes are those of the method and the protocol.
	lineBytes        = 4
	requestLineBytes = 256
	// lastIdleTimeout and lastHeaderTimeout end connections if Sweep does not.
	lastIdleTimeout   = 15 * time.Minute
	lastHeaderTimeout = 15 * time.Minute
)

// descriptorLimit returns the number of descriptors that the process may open, 0 if it is unknown.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 0
	}
	return int(limit.Cur)
}

// connectionLimit returns the number of connections that a listener may have open, given the descriptor limit; 0 for
// no limit.
func connectionLimit(descriptors int, share float64, most int) int {
	if descriptors <= 0 {
		return most
	}
	limit := int(share * float64(max(0, descriptors-reservedDescriptors)))
	if most > 0 {
		limit = min(limit, most)
	}
	return max(limit, minConnections)
}

// boundServer sets the bounds of the server of callers, of readiness probes or of operators.
func (d *Daemon) boundServer(s *server) {
	descriptors, held := descriptorLimit(), int64(defaultHeldHeads)
	if memory := d.settings.Limits.MemoryMB; memory > 0 {
		held = max(minHeldHeads, int64(heldHeadsShare*float64(memory<<20)))
	}
	open := connectionLimit(descriptors, probeConnectionShare, maxProbeConnections)
	if s.name == callerAddressKey {
		open = connectionLimit(descriptors, callerConnectionShare, 0)
	}
	s.Bounds = closing.Bounds{Open: open, HeadFields: maxHeaderFields, HeldHeads: held}
	s.bounded = true
	d.applyTimeouts(s, route.Limits{})
}

// applyTimeouts sets the timeouts of a server by the limits of a route table. They apply to open connections.
func (d *Daemon) applyTimeouts(s *server, limits route.Limits) {
	t := closing.Timeouts{Idle: idleTimeout, Head: headerTimeout, HeadBytes: maxHeaderBytes}
	if s.name == callerAddressKey {
		if limits.IdleTimeout > 0 {
			t.Idle = limits.IdleTimeout
		}
		if limits.HeaderTimeout > 0 {
			t.Head = limits.HeaderTimeout
		}
		if limits.MaxHeaderBytes > 0 {
			t.HeadBytes = min(t.HeadBytes, limits.MaxHeaderBytes+requestLineBytes+lineBytes*maxHeaderFields)
		}
	}
	s.SetTimeouts(t)
}

// sweepServers applies the timeouts of the table in force, and logs the connections that were closed.
func (d *Daemon) sweepServers(now time.Time) {
	var limits route.Limits
	if table := d.fleet.View().Table; table != nil {
		limits = table.Limits
	}
	for _, s := range d.servers {
		if !s.bounded {
			continue
		}
		d.applyTimeouts(s, limits)
		s.Sweep(now)
		evicted, refused, heads := s.Counts.Evicted.Load(), s.Counts.Refused.Load(), s.Counts.LargeHeads.Load()
		if evicted+refused+heads > s.logged {
			d.log.Warn("connections_closed", zap.String("server", s.name), zap.Int("limit", s.Bounds.Open),
				zap.Int64("evicted_total", evicted), zap.Int64("refused_total", refused), zap.Int64("large_heads_total", heads))
			s.logged = evicted + refused + heads
		}
	}
}

// registerServers registers the numbers of connections that the servers have closed.
func registerServers(registry prometheus.Registerer, servers []*server) error {
	for _, s := range servers {
		if !s.bounded {
			continue
		}
		for reason, count := range map[string]func() int64{
			"limit": s.Counts.Evicted.Load, "refused": s.Counts.Refused.Load, "idle_timeout": s.Counts.IdleTimeouts.Load,
			"header_timeout": s.Counts.HeadTimeouts.Load, "large_head": s.Counts.LargeHeads.Load,
		} {
			err := registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Namespace: telemetry.Namespace, Name: "connections_closed_total", Help: "Connections that were closed because of limits, by server and reason.",
				ConstLabels: prometheus.Labels{"server": s.name, "reason": reason},
			}, func() float64 { return float64(count()) }))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// tooManyFields returns the refusal of a request with more header fields than a daemon accepts, nil for others.
func tooManyFields(r *http.Request) *refusal.Refusal {
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if fields <= maxHeaderFields {
		return nil
	}
	return &refusal.Refusal{Kind: refusal.TooLarge, Run: refusal.NotRun, Remedy: "send fewer header fields"}
}

// awaitBody records whether a request's handler awaits the rest of its body from the connection.
func awaitBody(r *http.Request, awaits bool) {
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		closing.AwaitBody(conn, awaits)
	}
}
