package mesh

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// latencyBuckets are the bounds of the latency histogram in seconds, from the few milliseconds of a
// local response to the longest usual timeout.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8}

// metrics holds the counters and histograms of a daemon.
type metrics struct {
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	rejections *prometheus.CounterVec
	retries    *prometheus.CounterVec
	storeCalls *prometheus.CounterVec
	pipelined  *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	trials     prometheus.Counter
}

// newMetrics creates the metrics and registers them.
func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: telemetry.Namespace, Name: name, Help: help}, labels)
	}
	m := &metrics{
		requests: counter("ingress_requests_total", "Placed requests of all priorities by kind of route and outcome.", "kind", "outcome"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Name: "ingress_request_seconds", Help: "Time from the arrival of a request to its final response.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		rejections: counter("ingress_rejected_total", "Requests refused before they were placed.", "reason"),
		retries:    counter("ingress_retries_total", "Decisions about retries of requests to an upstream, by how much depends on the retry.", "decision", "chance"),
		storeCalls: counter("store_calls_total", "Calls to the platform's store.", "call", "outcome"),
		pipelined:  counter("ingress_pipelined_total", "Pipelined requests that were started before the requests before them were answered, and those of them whose result was dropped because the connection ended.", "event"),
		attempts:   counter("ingress_attempts_total", "Attempts of requests at instances, by the distance of their data centre from this one.", "distance"),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "ingress_trials_total", Help: "Requests sent although the mean run time of their route leaves them too little time.",
		}),
	}
	for _, c := range []prometheus.Collector{m.requests, m.latency, m.rejections, m.retries, m.storeCalls, m.pipelined, m.attempts, m.trials} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// registerGuard registers the gauges and counters of a guard.
func registerGuard(registry prometheus.Registerer, g *Guard) error {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: telemetry.Namespace, Name: name, Help: help}, value)
	}
	counter := func(name, help string, value *atomic.Int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: telemetry.Namespace, Name: name, Help: help}, func() float64 { return float64(value.Load()) })
	}
	for _, c := range []prometheus.Collector{
		gauge("jobs_awaiting_body", "Jobs of other daemons that hold a slot while their body is still arriving.", func() float64 { return float64(g.awaitingBody.Load()) }),
		gauge("upstream_pace_percent", "How long work takes on the upstream's host now, in percent of the usual time.", func() float64 { return float64(g.Pace()) }),
		gauge("upstream_cold", "1 while the upstream counts as cold and its requests are limited.", func() float64 {
			if g.Cold() > 0 {
				return 1
			}
			return 0
		}),
		gauge("upstream_cold_rate", "Requests per second to which a cold upstream is limited; 0 while it is not.", g.Cold),
		counter("upstream_cold_refused_total", "Jobs refused because the upstream was cold.", &g.cold.refused),
		counter("upstream_health_requests_total", "Requests to the upstream's health path.", &g.cold.asked),
	} {
		if err := registry.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// registerBodies registers the metrics of the memory for the bodies of requests.
func registerBodies(registry prometheus.Registerer, b *bodyBudget) error {
	metric := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: telemetry.Namespace, Name: name, Help: help}
	}
	for _, c := range [...]prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts(metric("bodies_held_bytes", "Memory that the bodies of requests hold.")),
			func() float64 { return float64(b.held.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts(metric("pipelined_held_bytes", "Estimated memory of the pipelined requests that run ahead.")),
			func() float64 { return float64(b.ahead.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts(metric("bodies_refused_total", "Bodies of requests that found no memory.")),
			func() float64 { return float64(b.refused.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts(metric("bodies_stalled_total", "Bodies of requests that stalled and were given up for others.")),
			func() float64 { return float64(b.stalled.Load()) }),
	} {
		if err := registry.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// recordOutcome records the outcome and the latency of a placed request.
func (m *metrics) recordOutcome(req *request, outcome string) {
	kind := req.route.Kind.String()
	m.requests.WithLabelValues(kind, outcome).Inc()
	m.latency.WithLabelValues(kind).Observe(time.Since(req.arrived).Seconds())
}

// rejected counts a request that was refused before it was placed.
func (m *metrics) rejected(r *refusal.Refusal) { m.rejections.WithLabelValues(string(r.Kind)).Inc() }

// countRetry counts a decision about a retry.
func (m *metrics) countRetry(decision string, chance retry.Chance) {
	m.retries.WithLabelValues(decision, chance.String()).Inc()
}
