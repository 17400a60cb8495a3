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

// fleetOf returns a fleet of daemons in one region.
func fleetOf(t *testing.T, n int) *Fleet {
	fleet := NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
	table, err := route.New(1, nil, nil, route.Limits{})
	require.NoError(t, err)
	state := catalog.State{Revision: 1, Table: table}
	for n := range n {
		inst := &catalog.Instance{}
		inst.ID, inst.ForwardAddr = model.InstanceID(fmt.Sprint(n)), fmt.Sprintf("10.0.0.%d:1", n)
		inst.Place = model.Place{Region: "a", DataCentre: "a1"}
		inst.Upstream = fmt.Sprintf("10.0.0.%d:2", n)
		state.Entries = append(state.Entries, catalog.Entry{ID: inst.ID, Instance: inst, Revision: 1})
	}
	fleet.Replace(state, "test")
	return fleet
}

// Replays the loss of both readers of a large region. Guards against every daemon that they fed
// reading the store for itself: their reads fill the link, so that no reader becomes current.
func TestNextReadersTakeOver(t *testing.T) {
	now := time.Now()
	fleet := fleetOf(t, 150)
	ranking := fleet.View().Ranking("a")
	reading := 0
	for _, own := range ranking[2:] {
		f := newFeeds("a", own, fleet, false)
		f.lose(now, ranking[0], errNotFresh)
		f.lose(now, ranking[1], errNotFresh)
		feeders, fed := f.feeders(now)
		if !fed {
			reading++
			continue
		}
		require.ElementsMatch(t, ranking[2:4], feeders)
	}
	require.Equal(t, catalog.ReadersPerRegion, reading)
	// All fall back at last, but not at once.
	f := &Follower{Fleet: fleet}
	early := 0
	for range 1000 {
		if f.newPatience() < takeOverTime+300*time.Millisecond {
			early++
		}
	}
	require.Less(t, early, 400)
}

// Replays a region in which most daemons do not read for others. Guards against asking them one
// after the other, a connection for each, before the reader is found.
func TestDeclinedFeedNamesTheReader(t *testing.T) {
	now := time.Now()
	fleet := fleetOf(t, 20)
	ranking := fleet.View().Ranking("a")
	own, reader := ranking[19], ranking[12]
	f := newFeeds("a", own, fleet, true)
	first, ok := f.next(now, false)
	require.True(t, ok)
	f.infer(now, first, reader)
	f.lose(now, first, errDeclined)
	next, ok := f.next(now, false)
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
