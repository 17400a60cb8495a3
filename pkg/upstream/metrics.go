package upstream

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts the guard's decisions.
type metrics struct {
	requests  *prometheus.CounterVec
	keys      *prometheus.CounterVec
	wait      prometheus.Histogram
	crashes   prometheus.Counter
	reports   *prometheus.CounterVec
	ownership *prometheus.CounterVec
}

func newMetrics() *metrics {
	const namespace, subsystem = "mangoshed", "guard"
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	}
	return &metrics{
		requests: counters("requests_total", "Requests by outcome: answered or the kind of refusal, and whether they can have run.", "outcome", "run"),
		keys:     counters("keyed_requests_total", "Decisions about keyed requests that may not be repeated.", "decision"),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "queue_wait_seconds", Help: "Time for which granted requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "crashes_total", Help: "Crashes of the local upstream.",
		}),
		reports:   counters("quarantine_entries_total", "Entries of quarantine reports by direction.", "direction"),
		ownership: counters("ownership_messages_total", "Ownership messages by direction and result.", "direction", "result"),
	}
}

// register adds the metrics and gauges of the guard's state to the registry.
func (g *Guard) register(registry prometheus.Registerer) error {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "mangoshed", Subsystem: "guard", Name: name, Help: help}, value)
	}
	m := g.metrics
	for _, collector := range []prometheus.Collector{
		m.requests, m.keys, m.wait, m.crashes, m.reports, m.ownership,
		gauge("in_flight_requests", "Requests that hold a slot.", func() float64 { return float64(g.LoadNow().InFlight) }),
		gauge("slots", "Slots in use, fewer than configured while the upstream is cold.", func() float64 { return float64(g.LoadNow().Slots) }),
		gauge("queued_requests", "Requests that wait for a slot.", func() float64 { return float64(g.LoadNow().Queued) }),
		gauge("keys", "Idempotency keys in the registry.", func() float64 { keys, _ := g.keys.figures(); return float64(keys) }),
		gauge("recorded_answers_bytes", "Bytes of recorded answers.", func() float64 { _, size := g.keys.figures(); return float64(size) }),
		gauge("quarantine_entries", "Suspected and convicted fingerprints.", func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(g.quarantine.Len())
		}),
	} {
		if err := registry.Register(collector); err != nil {
			return err
		}
	}
	return nil
}
