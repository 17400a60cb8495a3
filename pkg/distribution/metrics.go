package distribution

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mangoshed.example/mangoshed/core/dissemination"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/peer"
	"mangoshed.example/mangoshed/pkg/platform"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// metrics are the distribution's metrics of one daemon.
type metrics struct {
	runner     *Runner
	version    prometheus.Gauge
	age        prometheus.Histogram
	storeReads *prometheus.CounterVec
	rejected   prometheus.Counter
	conflicts  prometheus.Counter
	malformed  prometheus.Counter // found by the core; the transport counts its own

	controlBytes, controlDatagrams *prometheus.Desc
	role, refused                  *prometheus.Desc
	staleness, ready, links        *prometheus.Desc
	malformedTotal, overflows      *prometheus.Desc
	handshakes, members            *prometheus.Desc
}

func newMetrics(r *Runner) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: telemetry.Namespace, Name: name, Help: help})
	}
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(telemetry.Namespace, "", name), help, labels, nil)
	}
	return &metrics{
		runner: r,
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Name: "applied_version", Help: "Version of the table in force.",
		}),
		age: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Name: "convergence_age_seconds",
			Help: "Time from the publication of a version until this daemon applied it.",
			// The targets are 0.1 s, 2 s, 5 s and 14 s.
			Buckets: []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 14, 30, 60, 300},
		}),
		storeReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "store_reads_total", Help: "Calls to the platform, by call and outcome.",
		}, []string{"call", "outcome"}),
		rejected:         counter("rejected_versions_total", "Versions that were refused as a whole."),
		conflicts:        counter("conflicting_versions_total", "Versions seen with another digest than the one in force."),
		malformed:        counter("unknown_messages_total", "Frames that the dissemination core could not read."),
		controlBytes:     desc("control_bytes_total", "Bytes on the wire of control links, IP and UDP headers included.", "distance", "direction"),
		controlDatagrams: desc("control_datagrams_total", "Datagrams of control links.", "distance", "direction"),
		role:             desc("role", "1 for the role of this daemon in the distribution tree.", "role"),
		refused:          desc("refused_peers_total", "Peers refused at the control port.", "reason"),
		staleness:        desc("staleness_seconds", "Time since the last message of a peer or of the store."),
		ready:            desc("ready", "1 if the daemon may take new work."),
		links:            desc("control_links", "Open control links."),
		malformedTotal:   desc("malformed_frames_total", "Links closed because of a malformed frame."),
		overflows:        desc("dropped_links_total", "Links dropped because their send queue was full."),
		handshakes:       desc("control_handshakes_total", "Completed handshakes of control links."),
		members:          desc("members", "Instances in the membership view."),
	}
}

// register adds all metrics to a registry.
func (m *metrics) register(to prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.version, m.age, m.storeReads, m.rejected, m.conflicts, m.malformed, m} {
		if err := to.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		m.controlBytes, m.controlDatagrams, m.role, m.refused, m.staleness, m.ready, m.links, m.malformedTotal,
		m.overflows, m.handshakes, m.members,
	} {
		to <- d
	}
}

// distanceLabel returns the label of an index of peer.Traffic.
func distanceLabel(d int) string {
	if d == int(peer.Unattributed) {
		return "unattributed"
	}
	return model.Distance(d).String()
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counter := func(d *prometheus.Desc, value uint64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	t := m.runner.cfg.Transport
	for distance, class := range t.Traffic() {
		for direction, count := range class {
			labels := []string{distanceLabel(distance), peer.Direction(direction).String()}
			counter(m.controlBytes, count.Bytes, labels...)
			counter(m.controlDatagrams, count.Datagrams, labels...)
		}
	}
	for _, reason := range peer.Reasons() {
		counter(m.refused, t.Refused(reason), reason.String())
	}
	current := m.runner.Role()
	for _, role := range Roles() {
		gauge(m.role, oneIf(role == current), string(role))
	}
	gauge(m.staleness, m.runner.Staleness().Seconds())
	gauge(m.ready, oneIf(m.runner.Ready()))
	gauge(m.links, float64(t.Links()))
	gauge(m.members, float64(len(m.runner.Members().Instances)))
	counter(m.malformedTotal, t.Malformed())
	counter(m.overflows, t.Overflows())
	counter(m.handshakes, t.Handshakes())
}

func oneIf(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// applied counts a version that came into force. The first one of a daemon may have been
// published long before the daemon started, so that its age says nothing.
func (m *metrics) applied(a dissemination.Apply, now time.Time) {
	m.version.Set(float64(a.Snapshot.Version()))
	if a.Previous != nil {
		m.age.Observe(age(a.Snapshot, now).Seconds())
	}
}

// counted counts the calls to the platform.
type counted struct {
	client  platform.Client
	metrics *metrics
}

func (c counted) count(call string, err error) {
	outcome := "ok"
	var same *platform.NotModified
	var failed *platform.Error
	switch {
	case errors.As(err, &same):
		outcome = "not_modified"
	case errors.As(err, &failed):
		outcome = string(failed.Kind)
	case err != nil:
		outcome = "failed"
	}
	c.metrics.storeReads.WithLabelValues(call, outcome).Inc()
}

func (c counted) Read(ctx context.Context, key string) (platform.Value, error) {
	v, err := c.client.Read(ctx, key)
	c.count("read", err)
	return v, err
}

func (c counted) Watch(ctx context.Context, key string, after uint64) (platform.Value, error) {
	v, err := c.client.Watch(ctx, key, after)
	c.count("watch", err)
	return v, err
}

func (c counted) List(ctx context.Context, after uint64, wait bool) (platform.InstanceList, error) {
	call := "list"
	if wait {
		call = "list_watch"
	}
	list, err := c.client.List(ctx, after, wait)
	c.count(call, err)
	return list, err
}
