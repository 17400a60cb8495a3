package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// designSize returns a table of 530 services x 39 data centres, and 19,000 instances.
func designSize() (*table.Table, []model.Instance) {
	tab := &table.Table{}
	for i := range 39 {
		region := fmt.Sprintf("r%02d", i%10)
		tab.Layout.DataCentres = append(tab.Layout.DataCentres, model.Place{Region: region, DataCentre: fmt.Sprintf("d%02d", i)})
		if i < 10 {
			tab.Layout.Regions = append(tab.Layout.Regions, region)
		}
	}
	slices.SortFunc(tab.Layout.DataCentres, func(a, b model.Place) int { return strings.Compare(a.String(), b.String()) })
	for i := range 530 {
		row := table.Row{Service: fmt.Sprintf("service-%03d", i), Deadline: time.Second}
		for range 39 {
			row.DataCentres = append(row.DataCentres, table.Cell{Weight: 1, LimitPerSecond: table.NoLimit})
		}
		for range 10 {
			row.Regions = append(row.Regions, table.Cell{Weight: 1, LimitPerSecond: table.NoLimit})
		}
		tab.Rows = append(tab.Rows, row)
	}
	members := make([]model.Instance, 19_000)
	for i := range members {
		members[i] = model.Instance{
			ID: model.InstanceID(fmt.Sprintf("instance-%05d", i)), Service: tab.Rows[i%530].Service,
			Place: tab.Layout.DataCentres[i%39], ControlAddr: "10.0.0.1:7000", ForwardAddr: "10.0.0.1:7001",
		}
	}
	return tab, members
}

func BenchmarkPick(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("instances=36/full=%t", full), func(b *testing.B) {
			var members []model.Instance
			for i, place := range []model.Place{north1, north2, south1} {
				for k := range 12 {
					members = append(members, instance("shifts", place, i*100+k))
				}
			}
			r := newRouter(members, row("shifts", 1, 1, 1, 1, 1))
			for _, m := range members {
				if full {
					r.nodeOf(m.ID).recordLoad(Load{InFlight: 9, Slots: 9}, 0)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				d, _ := r.Pick(Query{Service: "shifts"}, start)
				r.Report(d, Outcome{}, start)
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	tab, members := designSize()
	r := New(members[0], 1)
	r.swap(1, tab, members, start)
	b.Run("first", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			New(members[0], 1).swap(1, tab, members, start)
		}
	})
	b.Run("one_member", func(b *testing.B) {
		b.ReportAllocs()
		other := slices.Clone(members)
		other[9000].State = model.Leaving
		for i := 0; b.Loop(); i++ {
			r.swap(1, tab, [][]model.Instance{other, members}[i%2], start)
		}
	})
	b.Run("one_row", func(b *testing.B) {
		b.ReportAllocs()
		other := &table.Table{Layout: tab.Layout, Rows: slices.Clone(tab.Rows)}
		other.Rows[100].Internal = true
		for i := 0; b.Loop(); i++ {
			r.swap(model.Version(i), []*table.Table{other, tab}[i%2], members, start)
		}
	})
}
