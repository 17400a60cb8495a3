package dissemination

import (
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"pgregory.net/rapid"
)

// build makes a version of a small table; the variant changes its contents.
func build(t rapid.TB, v model.Version, variant uint32, signer *snapshot.Signer) (*snapshot.Snapshot, snapshot.Manifest, [][]byte) {
	layout := table.Layout{
		DataCentres: []model.Place{{Region: storeRegion, DataCentre: "klang-0"}, {Region: remoteRegion, DataCentre: "penang-0"}},
		Regions:     []string{storeRegion, remoteRegion},
	}
	none := uint32(table.NoLimit)
	tab := &table.Table{Layout: layout}
	for _, service := range []string{"records", "shifts"} {
		tab.Rows = append(tab.Rows, table.Row{
			Service: service, Deadline: time.Second,
			DataCentres: []table.Cell{{Weight: 1 + uint32(v)%1000, LimitPerSecond: none}, {Weight: 1 + variant, LimitPerSecond: none}},
			Regions:     []table.Cell{{Weight: 1, LimitPerSecond: none}, {Weight: 1, LimitPerSecond: none}},
		})
	}
	s, m, segments, err := snapshot.Build(tab, v, time.UnixMilli(int64(v)%1e9), signer)
	require.NoError(t, err)
	return s, m, segments
}

// publish puts a good version into the store.
func (f *fleet) publish(v model.Version) {
	s, m, segments := build(f.t, v, 0, f.signer)
	f.good[v] = s.Digest()
	f.put(m, segments)
}

// put stores a manifest and its segments and notifies the watches.
func (f *fleet) put(m snapshot.Manifest, segments [][]byte) {
	encoded, err := snapshot.EncodeManifest(m)
	require.NoError(f.t, err)
	f.manifest, f.segments[m.Version] = encoded, segments
	f.notify()
}

// list replaces the platform's list without the given instances.
func (f *fleet) list(without ...model.InstanceID) {
	f.revision++
	f.listed = nil
	for _, id := range f.ids {
		dropped := false
		for _, w := range without {
			dropped = dropped || w == id
		}
		if !dropped {
			instance := f.nodes[id].instance
			instance.Incarnation = 0
			f.listed = append(f.listed, instance)
		}
	}
	f.notify()
}
