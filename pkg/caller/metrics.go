package caller

import (
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// metrics counts the decisions on calls. The counters of fixed label values are looked
// up once.
type metrics struct {
	chosen    map[routing.Reason]prometheus.Counter
	owner     prometheus.Counter
	refused   *prometheus.CounterVec
	retries   map[retry.Reason]prometheus.Counter
	cuts      prometheus.Counter
	answered  prometheus.Observer
	rejected  prometheus.Observer
	collected []prometheus.Collector
}

func newMetrics(budget *retry.Budget, running *atomic.Int64) *metrics {
	m := &metrics{
		chosen: make(map[routing.Reason]prometheus.Counter), retries: make(map[retry.Reason]prometheus.Counter),
	}
	chosen := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Name: "chosen_total", Help: "Attempts by the reason for the choice of the instance.",
	}, []string{"reason"})
	for _, reason := range []routing.Reason{
		routing.Local, routing.Region, routing.Remote, routing.Ramping, routing.Probe, routing.Full, routing.Suspects,
	} {
		m.chosen[reason] = chosen.WithLabelValues(string(reason))
	}
	m.owner = chosen.WithLabelValues("owner")
	retries := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Name: "retry_decisions_total",
		Help: "Decisions on failed attempts: again is a retry, the others say why there was none.",
	}, []string{"reason"})
	for _, reason := range []retry.Reason{
		retry.Again, retry.Final, retry.Attempts, retry.MayHaveRun, retry.Depth, retry.Consumed, retry.Time, retry.Exhausted,
	} {
		m.retries[reason] = retries.WithLabelValues(string(reason))
	}
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Name: "calls_refused_total", Help: "Calls that got a refusal, by kind and run state.",
	}, []string{"kind", "run"})
	m.cuts = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Name: "answers_cut_total", Help: "Answers that broke off; the caller's connection was aborted.",
	})
	duration := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: telemetry.Namespace, Name: "call_duration_seconds", Help: "Time from a call's header to the end of its answer.",
		Buckets: prometheus.ExponentialBuckets(0.00025, 2, 18),
	}, []string{"outcome"})
	m.answered, m.rejected = duration.WithLabelValues("answered"), duration.WithLabelValues("refused")
	inFlight := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Name: "calls_in_flight", Help: "Callers' calls that run.",
	}, func() float64 { return float64(running.Load()) })
	left := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Name: "retry_budget_retries", Help: "Retries that the budget holds.",
	}, func() float64 { return float64(budget.Retries()) })
	m.collected = []prometheus.Collector{chosen, retries, m.refused, m.cuts, duration, inFlight, left}
	return m
}

func (m *metrics) register(registry prometheus.Registerer) error {
	for _, c := range m.collected {
		if err := registry.Register(c); err != nil {
			return err
		}
	}
	return nil
}

func (m *metrics) refuse(kind refusal.Kind, run string) {
	m.refused.WithLabelValues(string(kind), run).Inc()
}

// depthValue returns the header value for a depth; small ones are not allocated.
func depthValue(depth int) []string { return []string{strconv.Itoa(depth)} }
