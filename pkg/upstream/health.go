package upstream

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/once"
	"mangoshed.example/mangoshed/core/quarantine"
)

// probePeriod is the time between two dials to a crashed upstream.
const probePeriod = 100 * time.Millisecond

// maxReport bounds a quarantine report in bytes.
const maxReport = 256 << 10

// run advances the state machines until Close.
func (g *Guard) run() {
	ticker := time.NewTicker(min(probePeriod, once.TickPeriod))
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case now := <-ticker.C:
			g.mu.Lock()
			g.queue.Advance(now)
			down := g.down
			g.mu.Unlock()
			if down && !g.pool.refused(g.ctx) {
				g.recovered(now)
			}
			g.keys.tick(now)
			g.exchangeQuarantine(now)
		}
	}
}

// suspectCrash checks whether the upstream still listens after a connection broke. A crash makes
// everything that it had begun suspect.
func (g *Guard) suspectCrash() {
	if !g.pool.refused(g.ctx) {
		return
	}
	g.mu.Lock()
	report := g.quarantine.RecordCrash(time.Now(), quarantine.DetectionDelay)
	first := !g.down
	g.down = true
	g.mu.Unlock()
	if first {
		g.metrics.crashes.Inc()
		g.log.Warn("upstream_crashed", zap.String("address", g.cfg.Address), zap.Int("suspects", len(report)))
	}
	g.publish(report)
}

func (g *Guard) recovered(now time.Time) {
	g.mu.Lock()
	g.down = false
	g.queue.RestartRamp(now)
	g.mu.Unlock()
	g.log.Info("upstream_recovered", zap.String("address", g.cfg.Address))
}

// publish tells the other daemons about suspects, convictions and clearances.
func (g *Guard) publish(report []quarantine.Entry) {
	if len(report) == 0 || g.cfg.Publish == nil {
		return
	}
	data, err := cbor.Marshal(report)
	if err != nil {
		g.log.Error("quarantine_report_failed", zap.Error(err))
		return
	}
	g.metrics.reports.WithLabelValues("sent").Add(float64(len(report)))
	g.cfg.Publish(data)
}

// Deliver takes the quarantine report of another daemon. A malformed one is logged and dropped.
func (g *Guard) Deliver(data []byte) {
	var report []quarantine.Entry
	if len(data) > maxReport {
		g.log.Warn("quarantine_report_dropped", zap.Int("bytes", len(data)))
		return
	}
	if err := cbor.Unmarshal(data, &report); err != nil {
		g.log.Warn("quarantine_report_dropped", zap.Error(err))
		return
	}
	g.metrics.reports.WithLabelValues("received").Add(float64(len(report)))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Merge(time.Now(), report)
}
