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
		f := newFeeds("a", own, fleet, false, &decliners{})
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
	f := newFeeds("a", own, fleet, true, &decliners{})
	first, ok := f.next(now, false)
	require.True(t, ok)
	f.suggest(reader)
	f.lose(now, first, errDeclined)
	next, ok := f.next(now, false)
	require.True(t, ok)
	require.Equal(t, reader, next)
	// A name that is not in the list tells nothing.
	f.suggest("10.9.9.9:1")
	next, _ = f.next(now, false)
	require.Equal(t, reader, next)
	f.lose(now, reader, errNotFresh)
	next, _ = f.next(now, false)
	require.NotContains(t, []string{reader, first}, next)
}

// Guards against decliners that are asked although others know them, and against daemons that
// confirm each other for good what one of them has said once.
func TestDeclinesAreToldWithTheirEnd(t *testing.T) {
	now := time.Now()
	list := []string{"a:1", "b:1"}
	var one, other decliners
	one.note(now, "a:1", declinedRest)
	told, number := one.since(now, 0)
	require.Equal(t, declines{"a:1": declinedRest.Milliseconds()}, told)
	again, _ := one.since(now, number)
	require.Empty(t, again)

	later := now.Add(declinedRest / 4)
	told, _ = one.since(later, 0)
	told["c:1"] = time.Hour.Milliseconds() // in no list
	other.hear(later, told, list)
	require.True(t, other.has(later, "a:1"))
	require.False(t, other.has(later, "c:1"))
	back, _ := other.since(later, 0)
	one.hear(later, back, list)
	end := now.Add(declinedRest + time.Millisecond)
	require.False(t, one.has(end, "a:1"))
	require.False(t, other.has(end, "a:1"))

	// One that goes on declining is told anew before it is forgotten.
	one.note(end, "a:1", declinedRest)
	_, number = one.since(end, 0)
	one.note(end.Add(time.Second), "a:1", declinedRest)
	news, _ := one.since(end.Add(time.Second), number)
	require.Empty(t, news)
	one.note(end.Add(declinedRest*2/3), "a:1", declinedRest)
	news, _ = one.since(end.Add(declinedRest*2/3), number)
	require.Contains(t, news, "a:1")
	// No daemon says how long another one is left out.
	one.hear(end, declines{"b:1": time.Hour.Milliseconds()}, list)
	require.False(t, one.has(end.Add(declinedRest), "b:1"))
}

// Replays the loss of all readers in a region whose other daemons decline. Guards against a daemon
// that waits until readers are no longer left out although it has nobody else to ask.
func TestLostReaderIsAskedAgainIfNoOtherIsLeft(t *testing.T) {
	now := time.Now()
	fleet := fleetOf(t, 20)
	ranking := fleet.View().Ranking("a")
	f := newFeeds("a", ranking[19], fleet, true, &decliners{})
	for i, address := range ranking {
		if i != 12 && i != 15 {
			f.declines.note(now, address, declinedRest)
		}
	}
	f.lose(now, ranking[15], errNotFresh)
	f.lose(now.Add(50*time.Millisecond), ranking[12], errNotFresh)
	_, ok := f.next(now.Add(againTime-1), true)
	require.False(t, ok)
	again, ok := f.next(now.Add(againTime+100*time.Millisecond), true)
	require.True(t, ok)
	require.Equal(t, ranking[15], again)
	// One that was lost again comes last.
	f.lose(now.Add(againTime+150*time.Millisecond), again, errNotFresh)
	again, ok = f.next(now.Add(againTime+200*time.Millisecond), true)
	require.True(t, ok)
	require.Equal(t, ranking[12], again)
	// Daemons that read for others do not depend on it: the next ones in the order take over.
	own := newFeeds("a", ranking[12], fleet, false, f.declines)
	own.lose(now, ranking[15], errNotFresh)
	_, fed := own.feeders(now)
	require.False(t, fed)
}
