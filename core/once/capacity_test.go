package once

import (
	"encoding/binary"
	"runtime"
	"testing"
)

// BenchmarkRegistryMemory reports the memory of a full registry without recorded responses, and the
// time to add and finish a key.
func BenchmarkRegistryMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		r := NewRegistry(0, 0)
		for i := range uint64(DefaultMaxKeys) {
			var id Digest
			binary.LittleEndian.PutUint64(id[:], i*0x9e3779b97f4a7c15)
			r.add(Key{ID: id, Created: int64(i) * 600_000 / DefaultMaxKeys})
			r.finish(id, Done, nil)
		}
		b.ReportMetric((heap()-before)/(1<<20), "heap-MB")
		b.ReportMetric((heap()-before)/DefaultMaxKeys, "B/key")
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/DefaultMaxKeys, "ns/key")
}
