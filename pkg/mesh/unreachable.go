package mesh

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/reach"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

const (
	// unreachableLogInterval is the interval of the log lines about hosts that are still unreachable.
	unreachableLogInterval = 10 * time.Second
	// maxUnreachableListed is the number of unreachable hosts that the status, the metrics and a log line
	// name, so that their size stays bounded during a partition.
	maxUnreachableListed = 16
)

// UnreachableHost is a host that gets no requests because its daemon does not respond, as reported to
// operators.
type UnreachableHost struct {
	Host  string    `json:"host"`
	Since time.Time `json:"since"`
	// Cause is the error of the last probe.
	Cause string `json:"cause"`
}

// exclusions returns the hosts that have been unreachable for longest, maxUnreachableListed at most, and
// the number of all unreachable ones.
func (r *reachability) exclusions() (longest []reach.Exclusion, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.monitor.Exclusions()
	return all[:min(len(all), maxUnreachableListed)], len(all)
}

// status returns the unreachable hosts for the status of the daemon.
func (r *reachability) status() (longest []UnreachableHost, total int) {
	exclusions, total := r.exclusions()
	longest = make([]UnreachableHost, 0, len(exclusions))
	for _, e := range exclusions {
		longest = append(longest, UnreachableHost(e))
	}
	return longest, total
}

// dueReport returns the unreachable hosts if a log line about them is due. The caller holds the mutex.
func (r *reachability) dueReport(now time.Time) []reach.Exclusion {
	if now.Before(r.reportAt) {
		return nil
	}
	r.reportAt = now.Add(unreachableLogInterval)
	return r.monitor.Exclusions()
}

// logUnreachable logs the hosts that are still unreachable, if there are any.
func logUnreachable(log *zap.Logger, now time.Time, hosts []reach.Exclusion) {
	if len(hosts) == 0 {
		return
	}
	var names []string
	for _, e := range hosts[:min(len(hosts), maxUnreachableListed)] {
		names = append(names, e.Host)
	}
	log.Warn("daemons_unreachable", zap.Int("count", len(hosts)), zap.Duration("longest", now.Sub(hosts[0].Since)), zap.String("hosts", strings.Join(names, ",")), zap.String("cause", hosts[0].Cause))
}

// unreachableCollector is the Prometheus collector of the unreachable hosts.
type unreachableCollector struct {
	reach         *reachability
	hosts, lasted *prometheus.Desc
}

func newUnreachableCollector(r *reachability) *unreachableCollector {
	name := func(name string) string { return prometheus.BuildFQName(telemetry.Namespace, "", name) }
	return &unreachableCollector{
		reach:  r,
		hosts:  prometheus.NewDesc(name("unreachable_hosts"), "Hosts that get no requests because their daemon does not respond.", nil, nil),
		lasted: prometheus.NewDesc(name("unreachable_host_seconds"), "Time for which a host has been unreachable, for the hosts with the longest times.", []string{"host"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *unreachableCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.hosts
	descs <- c.lasted
}

// Collect implements prometheus.Collector.
func (c *unreachableCollector) Collect(metrics chan<- prometheus.Metric) {
	longest, total := c.reach.exclusions()
	metrics <- prometheus.MustNewConstMetric(c.hosts, prometheus.GaugeValue, float64(total))
	for _, e := range longest {
		metrics <- prometheus.MustNewConstMetric(c.lasted, prometheus.GaugeValue, time.Since(e.Since).Seconds(), e.Host)
	}
}
