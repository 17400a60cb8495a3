package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawTable returns a random table.
func drawTable(t *rapid.T, version uint64) *Table {
	var routes []Route
	for _, prefix := range []string{"/a/", "/b/", "/c/", "/d/"} {
		if rapid.Bool().Draw(t, "present") {
			r := valid("r"+prefix, rapid.SampledFrom([]string{"h", "i"}).Draw(t, "host"), prefix)
			r.Timeout = time.Duration(rapid.IntRange(1, 3).Draw(t, "timeout")) * time.Second
			routes = append(routes, r)
		}
	}
	table, err := New(version, routes, []Service{{Name: "s", MaxConnections: rapid.IntRange(1, 2).Draw(t, "connections")}}, Limits{})
	require.NoError(t, err)
	return table
}

// Guards against a table that differs from the published one after a delta, and against a delta
// that is applied to the wrong version.
func TestDeltaMakesTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawTable(t, 1), drawTable(t, 2)
		got, err := from.Apply(Diff(from, to))
		require.NoError(t, err)
		require.Equal(t, to, got)
		_, err = to.Apply(Diff(from, to))
		var base *BaseError
		require.ErrorAs(t, err, &base)
	})
}
