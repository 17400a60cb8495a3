package snapshot

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/core/table/tabletest"
)

// drawChange returns a random variation of t, with some rows or cells changed or with another
// layout.
func drawChange(rt *rapid.T, t *table.Table, r *rand.Rand) *table.Table {
	if rapid.IntRange(0, 3).Draw(rt, "layout") == 0 {
		regions := rapid.IntRange(1, 3).Draw(rt, "regions")
		dataCentres := rapid.IntRange(regions, 8).Draw(rt, "data centres")
		return tabletest.Random(r, rapid.IntRange(1, 30).Draw(rt, "rows"), regions, dataCentres)
	}
	out := clone(t)
	for range rapid.IntRange(0, 8).Draw(rt, "changes") {
		i := rapid.IntRange(0, len(out.Rows)-1).Draw(rt, "row")
		switch rapid.IntRange(0, 3).Draw(rt, "change") {
		case 0:
			out.Rows[i].DataCentres[0].Weight = 1 + r.Uint32N(table.MaxWeight)
		case 1:
			out.Rows[i] = tabletest.Row(r, out.Rows[i].Service, out.Layout)
		case 2:
			if len(out.Rows) > 1 {
				out.Rows = slices.Delete(out.Rows, i, i+1)
			}
		case 3:
			if service := fmt.Sprintf("%s-%d", out.Rows[i].Service, r.IntN(9)); i+1 == len(out.Rows) || service < out.Rows[i+1].Service {
				out.Rows = slices.Insert(out.Rows, i+1, tabletest.Row(r, service, out.Layout))
			}
		}
	}
	return out
}

// Guards against a delta that does not result in its target, or whose application modifies the
// base.
func TestApplyDeltaResultsInTarget(t *testing.T) {
	signer, verifier := testKey(t, 1)
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		first := tabletest.Random(r, rapid.IntRange(1, 30).Draw(rt, "rows"), 2, 4)
		v := model.Version(rapid.Uint64Range(1, math.MaxUint64-10).Draw(rt, "version"))
		from, _, _, err := Build(first, v, published, signer)
		require.NoError(rt, err)
		base := clone(from.Table())
		target := drawChange(rt, first, r)
		to, _, _, err := Build(target, v+model.Version(rapid.IntRange(1, 9).Draw(rt, "distance")), published.Add(-5), signer)
		require.NoError(rt, err)
		delta, err := MakeDelta(from, to)
		require.NoError(rt, err)
		got, err := ApplyDelta(from, delta, verifier)
		require.NoError(rt, err)
		require.Equal(rt, to, got)
		require.Equal(rt, base, from.Table())
	})
}

// Guards against accepting a delta that is damaged, forged or for another base.
func TestApplyDeltaRejects(t *testing.T) {
	signer, verifier := testKey(t, 1)
	first := randomTable(1, 8)
	second := clone(first)
	second.Rows[4].DataCentres[1].Weight += 5
	from, _, _ := build(t, first, 3, signer)
	to, _, _ := build(t, second, 4, signer)
	unsignedTo, _, _ := build(t, second, 4, nil)
	otherFrom, _, _ := build(t, randomTable(9, 8), 3, signer)
	older, _, _ := build(t, first, 2, signer)
	signed, err := MakeDelta(from, to)
	require.NoError(t, err)
	unsigned, err := MakeDelta(from, unsignedTo)
	require.NoError(t, err)
	huge, _, _, err := Build(second, math.MaxUint64, published, nil)
	require.NoError(t, err)
	hugeDelta, err := MakeDelta(from, huge)
	require.NoError(t, err)
	invalidTable := clone(second)
	invalidTable.Rows[4].Deadline = 0
	invalidTarget := &Snapshot{header: to.header, table: *invalidTable, digest: tableDigest(invalidTable.Layout, rowDigests(invalidTable.Rows))}
	signer.sign(&invalidTarget.header, invalidTarget.digest)
	invalidDelta, err := MakeDelta(from, invalidTarget)
	require.NoError(t, err)
	tampered := slices.Clone(signed)
	tampered[len(tampered)-1]++

	for name, test := range map[string]struct {
		from     *Snapshot
		delta    []byte
		verifyBy *Verifier
		want     Kind
	}{
		"huge version, unsigned":       {from, hugeDelta, verifier, Unsigned},
		"unsigned":                     {from, unsigned, verifier, Unsigned},
		"tampered row":                 {from, tampered, verifier, DigestMismatch},
		"tampered row, no keys":        {from, tampered, nil, DigestMismatch},
		"wrong base version":           {older, signed, verifier, WrongBase},
		"same version, other contents": {otherFrom, signed, verifier, DigestMismatch},
		"breaks a rule":                {from, invalidDelta, verifier, InvalidTable},
		"empty":                        {from, nil, verifier, Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ApplyDelta(test.from, test.delta, test.verifyBy)
			require.Equal(t, test.want, KindOf(err), "%v", err)
		})
	}
	for n := range signed {
		_, err := ApplyDelta(from, signed[:n], verifier)
		require.NotEmpty(t, KindOf(err), "truncated to %d bytes", n)
	}
	_, err = MakeDelta(to, from)
	require.Equal(t, NotNewer, KindOf(err))
}

// Guards against deltas larger than the size for which the traffic over the billed links is
// planned.
func TestDeltaSize(t *testing.T) {
	for _, size := range [][2]int{{2, 4}, {10, 39}} {
		regions, dataCentres := size[0], size[1]
		first := tabletest.Random(rand.New(rand.NewPCG(1, 0)), 530, regions, dataCentres)
		changedRow := clone(first)
		changedRow.Rows[300] = tabletest.Row(rand.New(rand.NewPCG(2, 0)), changedRow.Rows[300].Service, changedRow.Layout)
		changedCell := clone(first)
		changedCell.Rows[300].DataCentres[1].Weight++
		for name, target := range map[string]*table.Table{"whole row": changedRow, "one cell": changedCell} {
			from, _, _ := build(t, first, 90_000, nil)
			to, _, _ := build(t, target, 90_001, nil)
			delta, err := MakeDelta(from, to)
			require.NoError(t, err)
			t.Logf("%d data centres, %s: %d bytes", dataCentres, name, len(delta))
			if regions == 2 {
				require.Less(t, len(delta), 60)
			}
		}
	}
}

// Guards against panics on arbitrary deltas, and against accepting a delta whose result is
// invalid.
func FuzzApplyDelta(f *testing.F) {
	signer, verifier := testKey(f, 1)
	first := randomTable(1, 8)
	second := clone(first)
	second.Rows[4].DataCentres[1].Weight += 5
	second.Rows = append(second.Rows[:2], second.Rows[3:]...)
	from, _, _ := build(f, first, 3, nil)
	for _, target := range []*table.Table{second, randomTable(5, 20), tabletest.Random(rand.New(rand.NewPCG(3, 0)), 9, 1, 1)} {
		for _, key := range []*Signer{nil, signer} {
			to, _, _ := build(f, target, 4, key)
			delta, err := MakeDelta(from, to)
			require.NoError(f, err)
			f.Add(delta)
			f.Add(delta[:len(delta)-1])
		}
	}
	f.Fuzz(func(t *testing.T, delta []byte) {
		for _, v := range []*Verifier{nil, verifier} {
			got, err := ApplyDelta(from, delta, v)
			if err != nil {
				require.NotEmpty(t, KindOf(err))
				continue
			}
			require.NoError(t, got.Table().Validate())
			require.Greater(t, got.Version(), from.Version())
		}
	})
}
