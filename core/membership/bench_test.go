package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

const designSize = 19000

// listedFleet returns as many instances as the design size, with addresses of usual length.
func listedFleet() []model.Instance {
	instances := make([]model.Instance, designSize)
	for i := range instances {
		instances[i] = model.Instance{
			ID: model.InstanceID(fmt.Sprintf("instance-%05d", i)), Service: fmt.Sprintf("service-%03d", i%530),
			Place:       model.Place{Region: fmt.Sprintf("region-%d", i%10), DataCentre: fmt.Sprintf("dc-%02d", i%39)},
			ControlAddr: fmt.Sprintf("10.%d.%d.%d:7400", i>>16, i>>8&255, i&255),
			ForwardAddr: fmt.Sprintf("10.%d.%d.%d:7401", i>>16, i>>8&255, i&255),
		}
	}
	return instances
}

// BenchmarkDesignSize reports the memory and the time that a table of 19,000 instances needs.
func BenchmarkDesignSize(b *testing.B) {
	now := time.Unix(1e9, 0)
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	fill := func(b *testing.B) *Table {
		t := New()
		if _, err := t.SetList(1, listedFleet()); err != nil {
			b.Fatal(err)
		}
		t.View()
		return t
	}
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			before := heap()
			t := fill(b)
			b.ReportMetric((heap()-before)/1024, "heap-KB")
			runtime.KeepAlive(t)
		}
	})
	b.Run("announce_and_view", func(b *testing.B) {
		t := fill(b)
		id := t.View().Instances[designSize/2].ID
		for incarnation := uint64(1); b.Loop(); incarnation++ {
			t.Announce(Announcement{ID: id, Incarnation: incarnation}, now)
			t.View()
		}
	})
	b.Run("list_delta_and_view", func(b *testing.B) {
		t := fill(b)
		changed := t.View().Instances[designSize/2]
		for revision := uint64(2); b.Loop(); revision++ {
			changed.ControlAddr = fmt.Sprintf("10.0.0.1:%d", revision)
			if _, err := t.ApplyDelta(ListDelta{From: revision - 1, To: revision, Upserts: []model.Instance{changed}}); err != nil {
				b.Fatal(err)
			}
			t.View()
		}
	})
}
