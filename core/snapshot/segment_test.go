package snapshot

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/core/table/tabletest"
)

// Guards against a change of one row that makes every reader fetch the whole table. At 530 rows
// and 39 data centres, 53 KB for each change amounted to 7.9 KB/s per daemon, above the limit of 2
// KB/s.
func TestChangedRowChangesOneSegment(t *testing.T) {
	const (
		changesPerSecond  = 13_000.0 / 86_400
		maxBytesPerSecond = 2_000 // bytes per second and daemon
	)
	random := rand.New(rand.NewPCG(7, 7))
	base := tabletest.Random(random, 530, 10, 39)
	_, manifest, segments := build(t, base, 1, nil)
	total := 0
	known := map[model.Digest]bool{}
	for i, ref := range manifest.Segments {
		known[ref.Digest] = true
		total += len(segments[i])
	}
	encoded, err := EncodeManifest(manifest)
	require.NoError(t, err)
	t.Logf("%d segments, %d bytes, manifest %d bytes", len(segments), total, len(encoded))

	changes := map[string]func(*table.Table){
		"removed": func(n *table.Table) { n.Rows = slices.Delete(n.Rows, 77, 78) },
		"new": func(n *table.Table) {
			n.Rows = slices.Insert(n.Rows, 78, tabletest.Row(random, n.Rows[77].Service+"-b", n.Layout))
		},
	}
	for row := 0; row < 530; row += 53 {
		changes[fmt.Sprintf("row %d", row)] = func(n *table.Table) { n.Rows[row].DataCentres[3].Weight++ }
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			next := &table.Table{Layout: base.Layout, Rows: slices.Clone(base.Rows)}
			for i := range next.Rows {
				next.Rows[i].DataCentres = slices.Clone(next.Rows[i].DataCentres)
			}
			change(next)
			_, m, changed := build(t, next, 2, nil)
			fetched, bytes := 0, len(encoded)
			for i, ref := range m.Segments {
				if !known[ref.Digest] {
					fetched++
					bytes += len(changed[i])
				}
			}
			require.LessOrEqual(t, fetched, 2) // a new or removed row can move one segment boundary
			require.Less(t, float64(bytes)*changesPerSecond, float64(maxBytesPerSecond))
		})
	}
}
