package route

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// valid returns a valid route.
func valid(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Kind: Safe, Timeout: time.Second, Goal: time.Second, MaxAttempts: 2,
		Shares: []Share{{Service: "s", Weight: 1}},
	}
}

func newTable(t require.TestingT, routes ...Route) *Table {
	table, err := New(1, routes, []Service{{Name: "s"}, {Name: "u"}}, Limits{})
	require.NoError(t, err)
	return table
}

// Guards against requests that match a route with a shorter prefix, or one whose prefix ends
// within a path segment.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table := newTable(t, valid("root", "a", "/"), valid("x", "a", "/x/"), valid("xy", "a", "/x/y/"), valid("other", "b", "/x/"))
	for request, want := range map[string]string{
		"a/": "root", "a/z": "root", "a/x": "root", "a/x/": "x", "a/x/z": "x", "a/xy/": "root", "a/x/y": "x", "a/x/y/": "xy", "a/x/y/z/w": "xy",
		"b/x/1": "other", "A:8080/x/1": "x",
	} {
		host, path, _ := strings.Cut(request, "/")
		r := table.Match(host, "/"+path)
		require.NotNil(t, r, request)
		require.Equal(t, want, r.Name, request)
	}
	require.Nil(t, table.Match("b", "/"))
	require.Nil(t, table.Match("c", "/x/"))
}

// Guards against a Match that differs from a linear search for the longest prefix.
func TestMatchAgreesWithASearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"", "a", "b", "ab"})
	path := func(t *rapid.T, label string) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
	}
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		var routes []Route
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			prefix := path(t, "prefix")
			if !strings.HasSuffix(prefix, "/") {
				prefix += "/"
			}
			if !seen[prefix] {
				seen[prefix] = true
				routes = append(routes, valid(prefix, "h", prefix))
			}
		}
		table := newTable(t, routes...)
		requestPath := path(t, "path")
		want := ""
		for prefix := range seen {
			if strings.HasPrefix(requestPath, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if r := table.Match("h", requestPath); r != nil {
			got = r.Prefix
		}
		require.Equal(t, want, got)
	})
}

// Guards against a traffic split that deviates from the weights.
func TestChooseKeepsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 0}, {Service: "c", Weight: 10}}}
	counts := map[string]int{}
	const n = 10_000
	for i := range n {
		counts[r.Choose((float64(i)+0.5)/n)]++
	}
	require.Equal(t, map[string]int{"a": 9000, "c": 1000}, counts)
}

// Guards against faults that are accepted, are reported without a remedy or hide other faults.
func TestFaultsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		change func(r *Route)
		want   string
	}{
		"no host":         {func(r *Route) { r.Host = "" }, "host is empty"},
		"open prefix":     {func(r *Route) { r.Prefix = "/x" }, "prefix does not begin and end with a slash"},
		"no timeout":      {func(r *Route) { r.Timeout = 0 }, "timeout is out of range"},
		"unknown service": {func(r *Route) { r.Shares[0].Service = "nosuch" }, "service is not in the table"},
		"no attempts":     {func(r *Route) { r.MaxAttempts = 0 }, "at least one attempt is required"},
		"no weight":       {func(r *Route) { r.Shares[0].Weight = 0 }, "no service gets the route's requests"},
		"unknown kind":    {func(r *Route) { r.Kind = 9 }, "unknown kind"},
		"priority":        {func(r *Route) { r.Priority = -1 }, "priority is negative"},
	} {
		t.Run(name, func(t *testing.T) {
			r := valid("r", "h", "/x/")
			test.change(&r)
			_, err := New(1, []Route{valid("good", "h", "/"), r}, []Service{{Name: "s"}}, Limits{})
			var faults *Faults
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults.List, 1)
			require.Contains(t, faults.List[0].Error(), test.want)
			require.NotEmpty(t, faults.List[0].Remedy)
		})
	}
	_, err := New(1, []Route{valid("a", "h", "/"), valid("b", "h", "/")}, []Service{{Name: "s"}, {Name: "s"}}, Limits{})
	var faults *Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults.List, 2)
}
