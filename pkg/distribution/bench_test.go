package distribution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/peer"
)

// BenchmarkChange reports the time from the publication of a change until it is in force
// on six daemons in two regions, and the bytes on the wire of the paid link for each
// change, both directions and acknowledgements included, beside the size of the delta.
func BenchmarkChange(b *testing.B) {
	s := newSite(b)
	s.publish(1, 1)
	s.startSix()
	paid := func() (uint64, uint64) { return s.paid("klang") }
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

// startSix starts three daemons in each of two regions and waits until they are ready.
func (s *site) startSix() {
	for id, region := range map[model.InstanceID]string{"a": "klang", "b": "klang", "c": "klang", "d": "penang", "e": "penang", "f": "penang"} {
		s.start(id, region)
	}
	s.run()
	for _, d := range s.daemons {
		require.NoError(s.t, d.Start())
	}
	for _, d := range s.daemons {
		d.awaitVersion(s.t, 1)
		d.awaitReady(s.t)
	}
}

// paid returns what crossed the borders of a region so far.
func (s *site) paid(region string) (bytes, datagrams uint64) {
	for _, d := range s.daemons {
		if d.self.Place.Region == region {
			for _, c := range d.transport.Traffic()[model.CrossRegion] {
				bytes, datagrams = bytes+c.Bytes, datagrams+c.Datagrams
			}
		}
	}
	return bytes, datagrams
}

// BenchmarkDeath reports the longest time until a change is in force on all remaining
// daemons, when one of the daemons dies without a word just before its publication.
func BenchmarkDeath(b *testing.B) {
	for _, dying := range []model.InstanceID{"a", "b", "c", "d", "e", "f"} {
		b.Run(string(dying), func(b *testing.B) {
			var worst time.Duration
			var role Role
			for b.Loop() {
				s := newSite(b)
				s.publish(1, 1)
				s.startSix()
				quiet(func() (uint64, uint64) { return s.paid("klang") })
				role = s.daemons[dying].Role()
				s.daemons[dying].kill()
				start := time.Now()
				s.publish(2, 2)
				for id, d := range s.daemons {
					if id != dying {
						d.awaitVersion(b, 2)
					}
				}
				worst = max(worst, time.Since(start))
				for _, d := range s.daemons {
					s.stop(d)
				}
			}
			b.Logf("%s is %s", dying, role)
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		})
	}
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

// BenchmarkIdleMinute reports the bytes on the wire of an idle minute of six daemons in
// two regions, by distance, both directions.
func BenchmarkIdleMinute(b *testing.B) {
	const minutes = 2
	s := newSite(b)
	s.publish(1, 1)
	s.startSix()
	<-time.After(40 * time.Second) // the links of the bootstrap linger for 30 s
	sent := func() (bytes [3]uint64) {
		for _, d := range s.daemons {
			for distance := range bytes {
				bytes[distance] += d.transport.Traffic()[distance][peer.Sent].Bytes
			}
		}
		return bytes
	}
	before := sent()
	<-time.After(minutes * time.Minute)
	for distance, after := range sent() {
		b.ReportMetric(float64(after-before[distance])/minutes, model.Distance(distance).String()+"-B/min")
	}
}
