package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/core/topology"
)

// Sizes on the wire in bytes: a frame of a link with its length prefix and the headers
// of IP, UDP and QUIC, and the packet that acknowledges it.
const (
	frameOverhead = 2 + 55
	ackBytes      = 56
)

func onWire(message any) float64 { return float64(len(encode(message)) + frameOverhead + ackBytes) }

// changedCell returns the size of a delta of one changed cell in a table of the given
// layout.
func changedCell(t *testing.T, services int, layout table.Layout) delta {
	make := func(weight uint32, v model.Version) *snapshot.Snapshot {
		tab := &table.Table{Layout: layout}
		for i := range services {
			row := table.Row{Service: fmt.Sprintf("service-%04d", i), Deadline: time.Second}
			for range layout.DataCentres {
				row.DataCentres = append(row.DataCentres, table.Cell{Weight: 1, LimitPerSecond: table.NoLimit})
			}
			for range layout.Regions {
				row.Regions = append(row.Regions, table.Cell{Weight: 1, LimitPerSecond: table.NoLimit})
			}
			tab.Rows = append(tab.Rows, row)
		}
		tab.Rows[services/2].DataCentres[0].Weight = weight
		s, _, _, err := snapshot.Build(tab, v, time.UnixMilli(int64(v)*1000), nil)
		require.NoError(t, err)
		return s
	}
	d, err := snapshot.MakeDelta(make(1, 70000), make(2, 70001))
	require.NoError(t, err)
	return d
}

// load is the expected traffic of a daemon, both directions.
func load(all map[model.InstanceID]topology.Plan, d delta) map[model.InstanceID]float64 {
	const (
		changes = 13000 / 86400.0           // versions per second
		events  = 2 * (88 + 7400) / 86400.0 // list changes and as many announcements
	)
	instance := listed{ID: "instance-0123456", Service: "service-0123", Region: "region-1", DataCentre: "dc-12", ControlAddr: "10.10.10.10:7000", ForwardAddr: "10.10.10.10:7001"}
	listChange := onWire(members{From: 1e6, To: 1e6 + 1, Upserts: []listed{instance}})
	announced := onWire(members{Announcements: []announcement{{ID: instance.ID, Incarnation: 1.7e12, State: model.Leaving}}})
	m := mark{Version: 70000}
	tick := onWire(beacon{Held: m, Heartbeat: 1e6, Revision: 1e6, Members: 1 << 63})
	eager := changes*onWire(d) + events*(listChange+announced)
	lazy := changes*onWire(advert{Held: m}) + tick/lazyBeaconInterval.Seconds()
	sum := map[model.InstanceID]float64{}
	for id, p := range all {
		for rank, bytes := range []float64{eager, lazy} {
			if rank >= len(p.Parents) {
				continue
			}
			switch {
			case p.Self.Place.DistanceTo(p.Parents[rank].Place) == model.CrossRegion:
				bytes += tick / paidBeaconInterval.Seconds()
			case rank == 0:
				bytes += tick / beaconInterval.Seconds()
			}
			sum[id] += bytes
			sum[p.Parents[rank].ID] += bytes
		}
		if p.IsSpareEntry() && p.ReaderRank < 0 {
			sum[id] += tick / entryBeaconInterval.Seconds()
			sum[p.Entry] += tick / entryBeaconInterval.Seconds()
		}
	}
	return sum
}

// Guards the budget of 2 KB/s of the busiest daemon, and prints the cost of a change
// next to that of daemons that poll the store every 5 s.
func TestCostOfChange(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ daemons, dataCentres, regions, services int }{{24, 4, 2, 2}, {500, 8, 4, 100}, {19000, 39, 10, 530}} {
		view, layout := membership.View{Revision: 1}, table.Layout{}
		for i := range size.dataCentres {
			layout.DataCentres = append(layout.DataCentres, model.Place{Region: fmt.Sprintf("r%d", i*size.regions/size.dataCentres), DataCentre: fmt.Sprintf("dc%02d", i)})
		}
		for i := range size.regions {
			layout.Regions = append(layout.Regions, fmt.Sprintf("r%d", i))
		}
		remote := 0
		for i := range size.daemons {
			place := layout.DataCentres[i%size.dataCentres]
			if place.Region != "r0" {
				remote++
			}
			view.Instances = append(view.Instances, model.Instance{ID: model.InstanceID(fmt.Sprintf("instance-%07d", i)), Place: place})
		}
		all := topology.BuildAll(view, "r0")
		d := changedCell(t, size.services, layout)
		deltas, adverts, paid := 0, 2, 0
		for _, p := range all {
			if len(p.Parents) > 0 {
				deltas++
				if p.Self.Place.DistanceTo(p.Parents[0].Place) == model.CrossRegion {
					paid++
				}
			}
			if len(p.Parents) > 1 && p.Self.Place.DistanceTo(p.Parents[1].Place) != model.CrossRegion {
				adverts++
			}
		}
		busiest, total := 0.0, 0.0
		for _, bytes := range load(all, d) {
			busiest, total = max(busiest, bytes), total+bytes
		}
		require.Equal(t, size.regions-1, paid, "deltas across the paid link")
		require.Less(t, busiest, 2000.0, "bytes per second of the busiest daemon")
		const poll = 2 * 300 // request and answer without news, bytes
		polls := float64(size.daemons) / 5 * 86400 / 13000
		t.Logf("%5d daemons: delta %d bytes; per change %d deltas and %d adverts, %.0f KB on the wire, %d deltas and %.0f bytes on the paid link; daemon mean %.0f B/s, busiest %.0f B/s; "+
			"polling: %.0f reads and %.0f KB per change, of it %.0f KB on the paid link, %.0f reads/s",
			size.daemons, len(d), deltas, adverts, (float64(deltas)*onWire(d)+float64(adverts)*onWire(advert{Held: mark{Version: 70000}}))/1000, paid, float64(paid)*onWire(d),
			total/float64(size.daemons), busiest, polls, polls*poll/1000, polls*poll/1000*float64(remote)/float64(size.daemons), float64(size.daemons)/5)
	}
}
