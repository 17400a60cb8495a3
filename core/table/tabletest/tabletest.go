// Package tabletest generates tables for tests and benchmarks.
package tabletest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// Random returns a valid table with realistic values. The data centres are distributed evenly over
// the regions; dataCentres must be at least regions. Every cell has a weight, and one cell in four
// has a rate limit.
func Random(r *rand.Rand, rows, regions, dataCentres int) *table.Table {
	t := &table.Table{}
	for i := range regions {
		region := fmt.Sprintf("region-%02d", i)
		t.Layout.Regions = append(t.Layout.Regions, region)
		for k := range (dataCentres - i + regions - 1) / regions {
			t.Layout.DataCentres = append(t.Layout.DataCentres, model.Place{Region: region, DataCentre: fmt.Sprintf("dc-%02d", k)})
		}
	}
	for i := range rows {
		t.Rows = append(t.Rows, Row(r, fmt.Sprintf("service-%04d", i), t.Layout))
	}
	return t
}

// Row returns a valid row with realistic values for the layout.
func Row(r *rand.Rand, service string, l table.Layout) table.Row {
	cells := func(n int) []table.Cell {
		out := make([]table.Cell, n)
		for i := range out {
			out[i] = table.Cell{Weight: 1 + r.Uint32N(100), LimitPerSecond: table.NoLimit}
			if r.IntN(4) == 0 {
				out[i].LimitPerSecond = 100 * (1 + r.Uint32N(200))
			}
		}
		return out
	}
	return table.Row{
		Service: service, Idempotent: table.Idempotency(r.IntN(3)), Internal: r.IntN(4) == 0,
		Deadline:    100 * time.Millisecond * time.Duration(1+r.IntN(50)),
		DataCentres: cells(len(l.DataCentres)), Regions: cells(len(l.Regions)),
	}
}
