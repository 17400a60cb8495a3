package demo

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
)

const (
	// linkSettleTime exceeds the 30 s after which links of the start are closed.
	linkSettleTime = 40 * time.Second
	// quietWindow covers one beacon period of the paid link.
	quietWindow = 30 * time.Second
	// benchChanges is the number of edits, and changeInterval their distance; it
	// exceeds all delays of forwarding, so that changes do not share packets.
	benchChanges   = 20
	changeInterval = 500 * time.Millisecond
	// benchRestarts is the number of daemons that are replaced one after the other.
	benchRestarts = 3
	// spreadTime lets announcements of a restart reach all daemons.
	spreadTime = 6 * time.Second
)

var shapes = []shape{
	{12, 3, 2, 3},
	{24, 3, 2, 4},
	{48, 3, 2, 8},
	{96, 3, 2, 16},
	{192, 3, 2, 32},
	{192, 10, 4, 32},
}

// BenchmarkFleet measures real daemons on loopback: idle cost, cost of a change, of a
// restart and of the return of half of the fleet. Each iteration starts a fleet.
func BenchmarkFleet(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, s)
			}
			b.ReportMetric(0, "ns/op") // the time is that of the windows
		})
	}
}

// measured is a fleet with its idle cost.
type measured struct {
	*testing.B
	*fleet
	n    float64
	idle sample // of one quiet window
}

func measureFleet(b *testing.B, s shape) {
	memory, goroutines := memoryInUse(), runtime.NumGoroutine()
	started := time.Now()
	f, err := startFleet(s)
	require.NoError(b, err)
	defer f.kill()
	require.NoError(b, f.awaitReady(b.Context()))
	m := &measured{B: b, fleet: f, n: float64(s.Daemons)}
	b.ReportMetric(millis(time.Since(started)), "start-ms")
	pause(b.Context(), linkSettleTime)
	m.measureQuiet()
	m.measureChanges(float64(s.Regions - 1))
	links := float64(f.links())
	b.ReportMetric((memoryInUse()-memory)/m.n/1024, "heap-KB/daemon")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/m.n, "goroutines/daemon")
	b.ReportMetric(links/m.n, "links/daemon")
	m.measureRestarts()
	m.measureReturn()
	require.Zero(b, f.progress.regressionCount(), "a daemon moved to a version that is not higher")
}

// measureQuiet measures a window without changes.
func (m *measured) measureQuiet() {
	before := m.sample()
	pause(m.Context(), quietWindow)
	m.idle = m.sample().since(before)
	seconds := m.idle.elapsed.Seconds()
	_, bytes := m.idle.total()
	m.ReportMetric(bytes/seconds/m.n, "idle-B/s/daemon")
	m.reportLoad(m.idle, seconds, "idle-own-B/s")
	m.ReportMetric(m.idle.bytes(model.SameDataCentre)/seconds/m.n, "idle-same-dc-B/s/daemon")
	m.ReportMetric(m.idle.bytes(model.SameRegion)/seconds/m.n, "idle-same-region-B/s/daemon")
	m.ReportMetric(m.idle.bytes(model.CrossRegion)/seconds, "idle-paid-B/s")
	m.ReportMetric(100*m.idle.processor.Seconds()/seconds/m.n, "idle-cpu-%/daemon")
	m.ReportMetric(m.idle.storeCalls()/seconds, "idle-store-calls/s")
}

// spending is what was spent beyond the idle cost of the same time.
type spending struct {
	datagrams, bytes, paid, processorSeconds float64
	loads                                    sample
}

// beyondIdle returns what was spent since a sample.
func (m *measured) beyondIdle(before sample) spending {
	spent := m.sample().since(before)
	share := spent.elapsed.Seconds() / m.idle.elapsed.Seconds()
	datagrams, bytes := spent.total()
	idleDatagrams, idleBytes := m.idle.total()
	for d := range spent.loads {
		spent.loads[d] -= share * m.idle.loads[d]
	}
	return spending{
		datagrams: datagrams - share*idleDatagrams, bytes: bytes - share*idleBytes,
		paid:             spent.bytes(model.CrossRegion) - share*m.idle.bytes(model.CrossRegion),
		processorSeconds: spent.processor.Seconds() - share*m.idle.processor.Seconds(),
		loads:            spent,
	}
}

// reportLoad reports the bytes of the median and the busiest daemon, both directions.
func (m *measured) reportLoad(s sample, per float64, unit string) {
	median, highest := s.load()
	m.ReportMetric(median/per, unit+"-p50")
	m.ReportMetric(highest/per, unit+"-max")
}

// measureChanges publishes edits of one cell each.
func (m *measured) measureChanges(remoteRegions float64) {
	before := m.sample()
	var convergence []time.Duration
	deltas := 0
	for n := range benchChanges {
		next := time.Now().Add(changeInterval)
		m.table = editTable(m.table, n)
		version, size, err := m.publish()
		require.NoError(m, err)
		deltas += size
		ctx, cancel := context.WithTimeout(m.Context(), convergenceTimeout)
		took, ok := m.progress.wait(ctx, version, len(m.daemons))
		cancel()
		require.True(m, ok, "the change did not reach all daemons")
		convergence = append(convergence, took)
		pause(m.Context(), time.Until(next))
	}
	spent := m.beyondIdle(before)
	delta := float64(deltas) / benchChanges
	paid := spent.paid / (benchChanges * remoteRegions)
	m.ReportMetric(millis(percentile(convergence, 0.5)), "convergence-p50-ms")
	m.ReportMetric(millis(percentile(convergence, 1)), "convergence-max-ms")
	m.ReportMetric(spent.datagrams/benchChanges/m.n, "datagrams/change/daemon")
	m.ReportMetric(spent.bytes/benchChanges/m.n, "B/change/daemon")
	m.ReportMetric(delta, "delta-B")
	m.ReportMetric(paid, "paid-B/change/region")
	m.ReportMetric(paid/(1.5*(delta+60)), "paid/bound")
	m.ReportMetric(1e6*spent.processorSeconds/benchChanges/m.n, "cpu-us/change/daemon")
	m.reportLoad(spent.loads, benchChanges, "own-B/change")
}

// measureRestarts replaces daemons one after the other.
func (m *measured) measureRestarts() {
	before := m.sample()
	var ready time.Duration
	for n := range benchRestarts {
		start := time.Now()
		require.NoError(m, m.replace(m.Context(), (n+1)*len(m.daemons)/(benchRestarts+1)))
		require.NoError(m, m.awaitReady(m.Context()))
		ready += time.Since(start)
		pause(m.Context(), spreadTime)
	}
	spent := m.beyondIdle(before)
	m.ReportMetric(millis(ready)/benchRestarts, "restart-ready-ms")
	m.ReportMetric(spent.bytes/benchRestarts, "B/restart")
	m.ReportMetric(spent.bytes/benchRestarts/m.n, "B/restart/daemon")
	m.ReportMetric(spent.paid/benchRestarts, "paid-B/restart")
	m.ReportMetric(1e6*spent.processorSeconds/benchRestarts/m.n, "cpu-us/restart/daemon")
	m.reportLoad(spent.loads, benchRestarts, "own-B/restart")
}

// measureReturn kills half of the daemons, which come back at once.
func (m *measured) measureReturn() {
	before, start := m.sample(), time.Now()
	require.NoError(m, m.restartHalf())
	require.NoError(m, m.awaitReady(m.Context()))
	m.ReportMetric(millis(time.Since(start)), "return-ready-ms")
	spent := m.beyondIdle(before)
	m.ReportMetric(spent.bytes/m.n, "B/return/daemon")
	m.ReportMetric(spent.paid, "paid-B/return")
	m.ReportMetric(m.sample().since(before).storeCalls(), "store-calls/return")
}
