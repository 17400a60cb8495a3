package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/route"
)

// Guards against a daemon that gets its table from another one, whole or as a difference, and does not know
// what a cold upstream takes.
func TestColdFiguresPassBetweenDaemons(t *testing.T) {
	services := []route.Service{{Name: "s", HealthPath: "/health", ColdPerSecond: 14, ColdStart: 3 * time.Second}}
	from, err := route.New(1, nil, []route.Service{{Name: "s"}}, route.Limits{})
	require.NoError(t, err)
	to, err := route.New(2, nil, services, route.Limits{})
	require.NoError(t, err)

	var encoder stateEncoder
	data, err := encoder.encode(&catalog.View{Revision: 2, Table: to})
	require.NoError(t, err)
	whole, err := decodeState(data)
	require.NoError(t, err)
	require.Equal(t, services, whole.Table.Services)

	before := &catalog.View{Revision: 1, Table: from}
	difference := diffViews(before, &catalog.View{Revision: 2, Table: to})
	data, err = difference.pack()
	require.NoError(t, err)
	received, err := unpack(data)
	require.NoError(t, err)
	state, err := received.state(before, 2)
	require.NoError(t, err)
	require.Equal(t, services, state.Table.Services)
}

// Guards against a limit, a cold phase or a leaving upstream that gets lost between daemons.
func TestNoticesPassBetweenDaemons(t *testing.T) {
	for _, test := range []struct {
		limit         float64
		leaving, cold bool
	}{{0, false, false}, {20.37, false, true}, {20.37, true, true}, {3, true, false}, {0, true, false}} {
		limit, leaving, cold := decodeNotices(encodeNotices(test.limit, test.leaving, test.cold))
		require.Equal(t, test, struct {
			limit         float64
			leaving, cold bool
		}{limit, leaving, cold})
	}
}

// Guards against a cold phase that ends up to a millisecond too early, because upstreams round its remaining
// time down.
func TestRemainingColdTimeIsRoundedUp(t *testing.T) {
	for _, test := range []struct {
		text      string
		remaining time.Duration
		ok        bool
	}{
		{"0", 0, true},
		{"1", 2 * time.Millisecond, true},
		{"2999", 3 * time.Second, true},
		{"", 0, false},
		{"-1", 0, false},
		{"1.5", 0, false},
		{"2147483648", 0, false},
	} {
		remaining, ok := parseCold(test.text)
		require.Equal(t, test.ok, ok, test.text)
		require.Equal(t, test.remaining, remaining, test.text)
	}
}

// Guards against a report of exactly an hour that is ignored because a millisecond is added to it.
func TestReportOfAnHourCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(time.Hour, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, nil))
		synctest.Wait()
		until, active := g.queue.Cold(time.Now())
		require.True(t, active)
		require.Equal(t, time.Hour+time.Millisecond, time.Until(until))
	})
}
