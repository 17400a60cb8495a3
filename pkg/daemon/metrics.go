package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// registerMetrics adds the metrics that belong to no single part.
func (d *Daemon) registerMetrics() error {
	expiry := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Name: "certificate_expiry_timestamp_seconds",
		Help: "End of the validity of the own certificate, in Unix seconds.",
	}, func() float64 { return float64(d.cfg.Identity.Expiry().Unix()) })
	if err := d.registry.Register(expiry); err != nil {
		return err
	}
	for _, kind := range audit.Kinds() {
		entries := prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "audit_entries_total", Help: "Entries of the audit trail.",
			ConstLabels: prometheus.Labels{"kind": string(kind)},
		}, func() float64 { return float64(d.trail.Count(kind)) })
		if err := d.registry.Register(entries); err != nil {
			return err
		}
	}
	return nil
}
