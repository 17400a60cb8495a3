package peer

import (
	"fmt"
	"testing"

	"mangoshed.example/mangoshed/core/model"
)

// BenchmarkLinkMemory reports the memory of a further link at one end: n transports that
// are all linked with each other hold more than n transports of which one is linked with
// all others.
func BenchmarkLinkMemory(b *testing.B) {
	const n = 24
	for b.Loop() {
		star, starLinks := linkedFleet(b, n, 1)
		mesh, meshLinks := linkedFleet(b, n, n)
		ends := 2 * float64(meshLinks-starLinks)
		b.ReportMetric((mesh-star)/ends/1024, "KB/link-end")
	}
	b.ReportMetric(0, "ns/op")
}

// linkedFleet links the first hubs of n transports with all others and returns the
// memory in bytes and the number of links.
func linkedFleet(b *testing.B, n, hubs int) (bytes float64, links int) {
	f := newFleet(b)
	before := memory()
	transports, recorders := make([]*Transport, n), make([]recorder, n)
	for i := range n {
		transports[i], recorders[i] = f.start(model.InstanceID(fmt.Sprintf("peer-%02d", i)), east, func(c *Config) { c.HandshakesPerSecond = 1 << 20 })
	}
	for hub := range hubs {
		for i := hub + 1; i < n; i++ {
			transports[i].Dial(instance(transports[hub]))
			recorders[i].next(b, "up")
			recorders[hub].next(b, "up")
			links++
		}
	}
	bytes = float64(memory()) - float64(before)
	return bytes, links
}
