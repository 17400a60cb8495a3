// Package tabletest makes tables for tests, benchmarks and trials.
package tabletest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// Random returns a valid table of realistic values whose data centres are spread over
// the regions in turn; there is at least one for each. A service has a weight in every data centre and a limit in one out of four cells.
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

// Row returns a valid row of realistic values for the layout.
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
