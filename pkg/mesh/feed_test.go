package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// Replays a region in which most daemons do not read for others. Guards against asking them one
// after the other, a connection for each, before the reader is found.
func TestDeclinedFeedNamesTheReader(t *testing.T) {
	now := time.Now()
	fleet := NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
	table, err := route.New(1, nil, nil, route.Limits{})
	require.NoError(t, err)
	state := catalog.State{Revision: 1, Table: table}
	for n := range 20 {
		inst := &catalog.Instance{}
		inst.ID, inst.ForwardAddr = model.InstanceID(fmt.Sprint(n)), fmt.Sprintf("10.0.0.%d:1", n)
		inst.Place = model.Place{Region: "a", DataCentre: "a1"}
		inst.Upstream = fmt.Sprintf("10.0.0.%d:2", n)
		state.Entries = append(state.Entries, catalog.Entry{ID: inst.ID, Instance: inst, Revision: 1})
	}
	fleet.Replace(state, "test")
	ranking := fleet.View().Ranking("a")
	own, reader := ranking[19], ranking[12]
	f := newFeeds("a", own, fleet, true)
	first, ok := f.next(now)
	require.True(t, ok)
	f.infer(now, first, reader)
	f.lose(now, first, errDeclined)
	next, ok := f.next(now)
	require.True(t, ok)
	require.Contains(t, []string{reader, ranking[13]}, next, "the reader and the one after it feed this daemon")
	// What was only inferred does not last.
	later, _ := f.feeders(now.Add(inferredRest + time.Second))
	require.NotContains(t, later, reader)
	// A name that is not in the list tells nothing.
	f.infer(now.Add(time.Minute), first, "10.9.9.9:1")
	again, _ := f.feeders(now.Add(time.Minute))
	require.Equal(t, later, again)
}
