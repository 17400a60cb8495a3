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

// fleetOf returns a fleet with n daemons in one region.
func fleetOf(t testing.TB, n int) *Fleet {
	fleet := NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
	table, err := route.New(1, nil, []route.Service{{Name: "s"}}, route.Limits{})
	require.NoError(t, err)
	state := catalog.State{Revision: 1, Table: table}
	for n := range n {
		inst := &catalog.Instance{}
		inst.ID, inst.Service, inst.ForwardAddr = model.InstanceID(fmt.Sprint(n)), "s", fmt.Sprintf("10.0.0.%d:1", n)
		inst.Place = model.Place{Region: "a", DataCentre: "a1"}
		inst.Upstream = fmt.Sprintf("10.0.0.%d:2", n)
		state.Entries = append(state.Entries, catalog.Entry{ID: inst.ID, Instance: inst, Revision: 1})
	}
	fleet.Replace(state, "test")
	return fleet
}

// Both readers of a large region are lost. Guards against every daemon that they fed reading the
// store itself: these reads saturate the link, so that no reader becomes current.
func TestNextReadersTakeOver(t *testing.T) {
	now := time.Now()
	fleet := fleetOf(t, 150)
	ranking := fleet.View().Ranking("a")
	reading := 0
	for _, own := range ranking[2:] {
		f := newFeedClient("a", own, fleet, false, &declinedPeers{})
		f.endAttempt(now, ranking[0], errNotFresh)
		f.endAttempt(now, ranking[1], errNotFresh)
		feeders, fed := f.feeders(now)
		if !fed {
			reading++
			continue
		}
		require.ElementsMatch(t, ranking[2:4], feeders)
	}
	require.Equal(t, catalog.ReadersPerRegion, reading)
	// All fall back to the store in the end, but not at the same time.
	f := &Follower{Fleet: fleet}
	early := 0
	for range 1000 {
		if f.newFallbackDelay() < takeoverTime+300*time.Millisecond {
			early++
		}
	}
	require.Less(t, early, 400)
}

// Most daemons of a region do not read the store for others. Guards against connecting to one after
// the other before a reader is found.
func TestDeclinedFeedNamesTheReader(t *testing.T) {
	now := time.Now()
	fleet := fleetOf(t, 20)
	ranking := fleet.View().Ranking("a")
	own, reader := ranking[19], ranking[12]
	f := newFeedClient("a", own, fleet, true, &declinedPeers{})
	first, ok := f.nextReader(now, false)
	require.True(t, ok)
	f.suggestReader(reader)
	f.endAttempt(now, first, errDeclined)
	next, ok := f.nextReader(now, false)
	require.True(t, ok)
	require.Equal(t, reader, next)
	// An address that is not in the list of instances is ignored.
	f.suggestReader("10.9.9.9:1")
	next, _ = f.nextReader(now, false)
	require.Equal(t, reader, next)
	f.endAttempt(now, reader, errNotFresh)
	next, _ = f.nextReader(now, false)
	require.NotContains(t, []string{reader, first}, next)
}

// Guards against asking daemons that others know to decline, and against daemons that keep a report
// alive for good by repeating it to each other.
func TestDeclinesArePassedOnWithTheirExpiry(t *testing.T) {
	now := time.Now()
	list := []string{"a:1", "b:1"}
	var one, other declinedPeers
	one.record(now, "a:1", declineTTL)
	reported, seq := one.changedSince(now, 0)
	require.Equal(t, declinedTTLs{"a:1": declineTTL.Milliseconds()}, reported)
	again, _ := one.changedSince(now, seq)
	require.Empty(t, again)

	later := now.Add(declineTTL / 4)
	reported, _ = one.changedSince(later, 0)
	reported["c:1"] = time.Hour.Milliseconds() // not in the list of instances
	other.merge(later, reported, list)
	require.True(t, other.contains(later, "a:1"))
	require.False(t, other.contains(later, "c:1"))
	back, _ := other.changedSince(later, 0)
	one.merge(later, back, list)
	end := now.Add(declineTTL + time.Millisecond)
	require.False(t, one.contains(end, "a:1"))
	require.False(t, other.contains(end, "a:1"))

	// A daemon that continues to decline is reported again before its record expires.
	one.record(end, "a:1", declineTTL)
	_, seq = one.changedSince(end, 0)
	one.record(end.Add(time.Second), "a:1", declineTTL)
	changed, _ := one.changedSince(end.Add(time.Second), seq)
	require.Empty(t, changed)
	one.record(end.Add(declineTTL*2/3), "a:1", declineTTL)
	changed, _ = one.changedSince(end.Add(declineTTL*2/3), seq)
	require.Contains(t, changed, "a:1")
	// A report by another daemon cannot exceed the maximum time.
	one.merge(end, declinedTTLs{"b:1": time.Hour.Milliseconds()}, list)
	require.False(t, one.contains(end.Add(declineTTL), "b:1"))
}

// All readers of a region are lost, and its other daemons decline. Guards against a daemon that
// waits for the full pause before it asks a lost reader again although there is no other daemon to
// ask.
func TestLostReaderIsAskedAgainIfNoOtherIsLeft(t *testing.T) {
	now := time.Now()
	fleet := fleetOf(t, 20)
	ranking := fleet.View().Ranking("a")
	f := newFeedClient("a", ranking[19], fleet, true, &declinedPeers{})
	for i, address := range ranking {
		if i != 12 && i != 15 {
			f.declined.record(now, address, declineTTL)
		}
	}
	f.endAttempt(now, ranking[15], errNotFresh)
	f.endAttempt(now.Add(50*time.Millisecond), ranking[12], errNotFresh)
	_, ok := f.nextReader(now.Add(minLostReaderPause-1), true)
	require.False(t, ok)
	again, ok := f.nextReader(now.Add(minLostReaderPause+100*time.Millisecond), true)
	require.True(t, ok)
	require.Equal(t, ranking[15], again)
	// A reader that is lost again is asked last.
	f.endAttempt(now.Add(minLostReaderPause+150*time.Millisecond), again, errNotFresh)
	again, ok = f.nextReader(now.Add(minLostReaderPause+200*time.Millisecond), true)
	require.True(t, ok)
	require.Equal(t, ranking[12], again)
	// Daemons that read for others do not depend on the lost reader: the next ones in the ranking
	// take over.
	own := newFeedClient("a", ranking[12], fleet, false, f.declined)
	own.endAttempt(now, ranking[15], errNotFresh)
	_, fed := own.feeders(now)
	require.False(t, fed)
}
