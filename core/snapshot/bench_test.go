package snapshot

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/core/table/tabletest"
)

// benchTables holds the sizes of the current deployment, of its layout with all 530 services, and
// of the deployment that the design is for.
var benchTables = []struct{ rows, regions, dataCentres int }{{2, 2, 4}, {530, 2, 4}, {530, 10, 39}}

// Measures the time and the allocations of each processing step of a version. The metric bytes is
// the size of the encoded form that the step reads or writes.
func BenchmarkSnapshot(b *testing.B) {
	signer, verifier := testKey(b, 1)
	for _, size := range benchTables {
		name := fmt.Sprintf("rows=%d/data_centres=%d/", size.rows, size.dataCentres)
		first := tabletest.Random(rand.New(rand.NewPCG(1, 0)), size.rows, size.regions, size.dataCentres)
		second := clone(first)
		second.Rows[size.rows/2].DataCentres[1].Weight++
		from, m, segments := build(b, first, 3, signer)
		to, _, _ := build(b, second, 4, signer)
		delta, err := MakeDelta(from, to)
		require.NoError(b, err)
		var csv bytes.Buffer
		require.NoError(b, table.WriteCSV(&csv, first))
		total := 0
		for _, segment := range segments {
			total += len(segment)
		}
		for _, step := range []struct {
			name  string
			bytes int
			run   func() error
		}{
			{"parse", csv.Len(), func() error { _, err := table.ParseCSV("", bytes.NewReader(csv.Bytes())); return err }},
			{"build", total, func() error { _, _, _, err := Build(first, 3, published, signer); return err }},
			{"open", total, func() error { _, err := Open(m, segments, verifier); return err }},
			{"make_delta", len(delta), func() error { _, err := MakeDelta(from, to); return err }},
			{"apply_delta", len(delta), func() error { _, err := ApplyDelta(from, delta, verifier); return err }},
		} {
			b.Run(name+step.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := step.run(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(step.bytes), "bytes")
			})
		}
	}
}

// Measures the heap size, per row, of a first snapshot and of each further snapshot in a history
// of deltas.
func BenchmarkMemory(b *testing.B) {
	const versions = 32
	for _, size := range benchTables[1:] {
		b.Run(fmt.Sprintf("rows=%d/data_centres=%d", size.rows, size.dataCentres), func(b *testing.B) {
			heap := func() float64 {
				var stats runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&stats)
				return float64(stats.HeapAlloc)
			}
			for b.Loop() {
				_, m, segments := build(b, tabletest.Random(rand.New(rand.NewPCG(1, 0)), size.rows, size.regions, size.dataCentres), 1, nil)
				beforeOpen := heap()
				first, err := Open(m, segments, nil)
				require.NoError(b, err)
				afterOpen := heap()
				history := []*Snapshot{first}
				for v := range versions {
					next := clone(first.Table())
					next.Rows[v].DataCentres[0].Weight++
					to, _, _ := build(b, next, first.Version()+1, nil)
					delta, err := MakeDelta(history[0], to)
					require.NoError(b, err)
					applied, err := ApplyDelta(history[0], delta, nil)
					require.NoError(b, err)
					history = append(history, applied)
				}
				b.ReportMetric((afterOpen-beforeOpen)/float64(size.rows), "B/row")
				b.ReportMetric((heap()-afterOpen)/versions/float64(size.rows), "B/row_of_next")
				runtime.KeepAlive(history)
			}
		})
	}
}
