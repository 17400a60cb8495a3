package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// regional returns a valid route with a list of regions.
func regional(name, prefix string, regions ...string) Route {
	r := valid(name, "h", prefix)
	r.Regions = regions
	return r
}

// Guards against lists that are lost in the CSV format or in the comparison of two tables, and against
// a column that tables without lists get.
func TestRegionsInCSV(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(sheet), "\n")
	text := lines[0] + ",regions\n" + lines[1] + ",klang penang\n" + lines[2] + ",\n"
	table, err := ParseCSV(strings.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, []string{"klang", "penang"}, table.Routes[0].Regions)
	require.Empty(t, table.Routes[1].Regions)
	var out strings.Builder
	require.NoError(t, table.WriteCSV(&out))
	require.Equal(t, text, out.String())

	plain, err := ParseCSV(strings.NewReader(sheet))
	require.NoError(t, err)
	require.Equal(t, []string{"changed claim: regions (none) -> klang penang"}, Changes(plain, table))
	require.Equal(t, []string{"changed claim: regions klang penang -> (none)"}, Changes(table, plain))
	_, err = ParseCSV(strings.NewReader(lines[0] + ",region\n"))
	require.ErrorContains(t, err, "the header does not have the columns of a route table")
}

// Guards against names that can never match a region and so take a route out of service, against a list
// of an empty name that counts as a list of all regions, and against lists that cost much to go through.
func TestRegionNamesAreChecked(t *testing.T) {
	long := make([]string, MaxRegions+1)
	for i := range long {
		long[i] = fmt.Sprint(i)
	}
	for problem, regions := range map[string][]string{
		`value "\"\"": region is empty`: {""}, `value "\"a \"": region is empty or has a space`: {"a "}, `value "\"a\\x00\""`: {"a\x00"}, "too many regions": long,
	} {
		_, err := New(1, []Route{regional("r", "/", regions...)}, []Service{{Name: "s"}}, Limits{})
		require.ErrorContains(t, err, "route r: column regions: ", problem)
		require.ErrorContains(t, err, problem)
	}
	_, err := New(1, []Route{regional("r", "/", long[:MaxRegions]...)}, []Service{{Name: "s"}}, Limits{})
	require.NoError(t, err)
}

// Guards against a change of the list that is not sent on, and against one sent for another order of
// the same regions.
func TestRegionsAreASet(t *testing.T) {
	first := newTable(t, regional("r", "/", "b", "a", "b"))
	require.Equal(t, []string{"a", "b"}, first.Routes[0].Regions)
	require.Empty(t, Diff(first, newTable(t, regional("r", "/", "a", "b"))).Put)
	require.Len(t, Diff(first, newTable(t, regional("r", "/", "a"))).Put, 1)
	require.Len(t, Diff(first, newTable(t, regional("r", "/"))).Put, 1)
	require.Nil(t, newTable(t, regional("r", "/", []string{}...)).Routes[0].Regions)
}

// Guards against a daemon that applies another list than the published one after a delta between daemons.
func TestDeltaCarriesRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(version uint64) *Table {
			var routes []Route
			for _, prefix := range []string{"/a/", "/b/", "/c/"} {
				routes = append(routes, regional("r"+prefix, prefix, rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y", "z"}), 0, 3).Draw(t, "regions")...))
			}
			table, err := New(version, routes, []Service{{Name: "s"}}, Limits{})
			require.NoError(t, err)
			return table
		}
		from, to := draw(1), draw(2)
		data, err := cbor.Marshal(Diff(from, to))
		require.NoError(t, err)
		var d Delta
		require.NoError(t, cbor.Unmarshal(data, &d))
		got, err := from.Apply(d)
		require.NoError(t, err)
		require.Equal(t, to.Routes, got.Routes)
		require.Equal(t, to.regional, got.regional)
	})
}

// Guards against a list that is passed by because the request was accepted under another version of the
// table, in which its route had another prefix, another name or no list.
func TestAllowsByTheTableInForce(t *testing.T) {
	slow := regional("slow", "/x/slow/", "b")
	slow.Timeout = time.Minute
	table := newTable(t, valid("root", "h", "/x/"), regional("eu", "/eu/", "a", "b"), slow)
	for _, c := range []struct {
		name, path, region string
		want               bool
	}{
		{"eu", "/eu/1", "a", true},
		{"eu", "/eu/1", "c", false},
		{"renamed", "/eu/1", "c", false},
		{"root", "/x/slow/1", "a", false}, // accepted before the longer prefix had a route
		{"eu", "/x/1", "c", true},         // accepted when the route had the prefix that another one has now
		{"eu", "/moved/1", "c", false},    // no route matches, but the one with the name has a list
		{"gone", "/gone/1", "c", true},
	} {
		require.Equal(t, c.want, table.Allows(c.name, "h", c.path, c.region), c)
	}
	require.True(t, newTable(t, valid("root", "h", "/")).Allows("root", "h", "/", "c"))
}
