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

// benchTables holds today's size, its layout with all services, and the design size.
var benchTables = []struct{ rows, regions, dataCentres int }{{2, 2, 4}, {530, 2, 4}, {530, 10, 39}}

// Measures the cost of a version at each stage; bytes are those of the encoded form.
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
		for _, stage := range []struct {
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
			b.Run(name+stage.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := stage.run(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(stage.bytes), "bytes")
			})
		}
	}
}

// Measures the heap of a snapshot and of each further one in a history, per row.
func BenchmarkMemory(b *testing.B) {
	const history = 32
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
				start := heap()
				first, err := Open(m, segments, nil)
				require.NoError(b, err)
				opened := heap()
				kept := []*Snapshot{first}
				for v := range history {
					next := clone(first.Table())
					next.Rows[v].DataCentres[0].Weight++
					to, _, _ := build(b, next, first.Version()+1, nil)
					delta, err := MakeDelta(kept[0], to)
					require.NoError(b, err)
					applied, err := ApplyDelta(kept[0], delta, nil)
					require.NoError(b, err)
					kept = append(kept, applied)
				}
				b.ReportMetric((opened-start)/float64(size.rows), "B/row")
				b.ReportMetric((heap()-opened)/history/float64(size.rows), "B/row_of_next")
				runtime.KeepAlive(kept)
			}
		})
	}
}
