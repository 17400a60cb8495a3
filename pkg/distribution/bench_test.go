package distribution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

// BenchmarkChange reports the time from the publication of a change until it is in force
// on six daemons in two regions, and the bytes on the wire of the paid link for each
// change, both directions and acknowledgements included, beside the size of the delta.
func BenchmarkChange(b *testing.B) {
	s := newSite(b)
	s.publish(1, 1)
	regions := map[model.InstanceID]string{"a": "klang", "b": "klang", "c": "klang", "d": "penang", "e": "penang", "f": "penang"}
	for id, region := range regions {
		s.start(id, region)
	}
	s.run()
	for _, d := range s.daemons {
		require.NoError(b, d.Start())
	}
	for _, d := range s.daemons {
		d.awaitVersion(b, 1)
		d.awaitReady(b)
	}
	paid := func() (bytes, datagrams uint64) {
		for id, d := range s.daemons {
			if regions[id] == "klang" {
				for _, c := range d.transport.Traffic()[model.CrossRegion] {
					bytes, datagrams = bytes+c.Bytes, datagrams+c.Datagrams
				}
			}
		}
		return bytes, datagrams
	}
	quiet(paid)
	var worst time.Duration
	var deltas, wire, packets uint64
	version := model.Version(1)
	previous := s.daemons["a"].Snapshot()
	for b.Loop() {
		version++
		bytes, datagrams := paid()
		start := time.Now()
		s.publish(version, int(version))
		for _, d := range s.daemons {
			d.awaitVersion(b, version)
		}
		worst = max(worst, time.Since(start))
		current := s.daemons["a"].Snapshot()
		delta, err := snapshot.MakeDelta(previous, current)
		require.NoError(b, err)
		deltas += uint64(len(delta))
		previous = current
		b.StopTimer()
		quiet(paid)
		afterBytes, afterDatagrams := paid()
		wire, packets = wire+afterBytes-bytes, packets+afterDatagrams-datagrams
		b.StartTimer()
	}
	n := float64(b.N)
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
	b.ReportMetric(float64(deltas)/n, "delta-B")
	b.ReportMetric(float64(wire)/n, "paid-B")
	b.ReportMetric(float64(packets)/n, "paid-datagrams")
	b.ReportMetric(1.5*(float64(deltas)/n+60), "target-B")
}

// quiet waits until the paid link carried nothing for 150 ms, which is longer than the
// delay of acknowledgements and of coalescing.
func quiet(paid func() (uint64, uint64)) {
	for last, now := uint64(0), uint64(1); now != last; {
		last, _ = paid()
		<-time.After(150 * time.Millisecond)
		now, _ = paid()
	}
}
