package demo

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table/tabletest"
)

// listedInstances is the design size; a tenth more would be in the store's region.
const listedInstances = 19_000

// historyChanges fills the history of 32 tables.
const historyChanges = 33

// settledAnswers returns the bytes of the platform's answers when a second has passed
// without one: the instance list that a reader reads at its start does not count as a change.
func settledAnswers(b *testing.B, f *fleet) int64 {
	answered := int64(-1)
	for now := f.platform.Counts().AnswerBytes; now != answered; now = f.platform.Counts().AnswerBytes {
		answered = now
		pause(b.Context(), time.Second)
	}
	return answered
}

// BenchmarkDesignSizeDaemon reports the memory of one daemon whose list has 19,000
// instances and whose table has 530 services and 40 data centres. The daemon is alone in
// the store's region, so that it is a reader; nobody answers at the other addresses.
func BenchmarkDesignSizeDaemon(b *testing.B) {
	design := shape{Daemons: listedInstances * 10 / 9, Regions: 10, CentresPerRegion: 4, Services: 530}
	for b.Loop() {
		empty := design
		empty.Daemons = 0
		f, err := startFleet(empty)
		require.NoError(b, err)
		self := model.Instance{ID: "self", Service: f.deployment.Services[0].Name, Place: f.deployment.Places[0]}
		list := []model.Instance{self}
		for i, instance := range design.deployment().instances() {
			if instance.Place.Region != self.Place.Region {
				instance.ControlAddr, instance.ForwardAddr = fmt.Sprintf("127.1.%d.%d:9", i>>8, i&255), fmt.Sprintf("127.1.%d.%d:10", i>>8, i&255)
				list = append(list, instance)
			}
		}
		f.platform.SetInstances(list)
		before, goroutines := memoryInUse(), runtime.NumGoroutine()
		require.NoError(b, f.startInstance(self))
		require.NoError(b, f.awaitReady(b.Context()))
		publish := func() {
			version, _, err := f.publish()
			require.NoError(b, err)
			_, ok := f.progress.wait(b.Context(), version, 1)
			require.True(b, ok)
		}
		// Rows of equal weights would compress to a twentieth of realistic ones.
		random := rand.New(rand.NewPCG(1, 1))
		for i, row := range f.table.Rows {
			f.table.Rows[i] = tabletest.Row(random, row.Service, f.table.Layout)
		}
		publish()
		answered := settledAnswers(b, f)
		for n := range historyChanges {
			f.table = editTable(f.table, n)
			publish()
		}
		b.ReportMetric((memoryInUse()-before)/(1<<20), "heap-MB")
		b.ReportMetric(float64(f.platform.Counts().AnswerBytes-answered)/historyChanges, "store-B/change")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines")
		b.ReportMetric(float64(len(list)), "instances")
		f.kill()
		var usage syscall.Rusage
		require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
		b.ReportMetric(float64(usage.Maxrss)/1024, "process-peak-MB") // of all iterations, the stand-in included
	}
	b.ReportMetric(0, "ns/op")
}
