package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
)

// passed returns the evacuations of a catalog after it has applied what passes between two daemons.
func passed(t *testing.T, c *catalog.Catalog, s catalog.State, whole bool) []catalog.Evacuation {
	if whole {
		c.Replace(time.Now(), s)
	} else {
		c.Apply(time.Now(), s)
	}
	return c.View().Evacuated
}

// Guards against a daemon that does not learn of an evacuation or of its end from another one: from its state, from the
// first frame of a feed, which also comes after a change of the reader, or from a later one.
func TestEvacuationsPassBetweenDaemons(t *testing.T) {
	change := func(c *change, view *catalog.View, revision uint64) catalog.State {
		data, err := c.pack()
		require.NoError(t, err)
		require.NotEmpty(t, data)
		decoded, err := unpack(data)
		require.NoError(t, err)
		s, err := decoded.state(view, revision)
		require.NoError(t, err)
		return s
	}
	reader := catalog.New()
	reader.Apply(time.Now(), catalog.State{Revision: 4, Table: namingTable(t, 1, "back"), Evacuations: []catalog.Evacuation{
		{DataCentre: "a1", Revision: 3}, {DataCentre: "elsewhere", Revision: 4},
	}})
	both := reader.View()
	data, err := new(stateEncoder).encode(both)
	require.NoError(t, err)
	state, err := decodeState(data)
	require.NoError(t, err)
	started, fed := catalog.New(), catalog.New()
	require.Equal(t, both.Evacuated, passed(t, started, state, true))
	first := initialChange(both, 4, 0, 0)
	require.Equal(t, both.Evacuated, passed(t, fed, change(&first, fed.View(), 4), true))

	// Several changes pass as one: one has ended, one has ended and begun again, one has begun and ended.
	reader.Apply(time.Now(), catalog.State{Revision: 9, Evacuations: []catalog.Evacuation{
		{DataCentre: "elsewhere", Revision: 5, Ended: true},
		{DataCentre: "a1", Revision: 6, Ended: true},
		{DataCentre: "a1", Revision: 7},
		{DataCentre: "b1", Revision: 8},
		{DataCentre: "b1", Revision: 9, Ended: true},
	}})
	later := reader.View()
	next := diffViews(both, later)
	require.Len(t, next.Evacuations, 2)
	require.Equal(t, []catalog.Evacuation{{DataCentre: "a1", Revision: 7}}, passed(t, fed, change(&next, fed.View(), 9), false))
	require.Equal(t, later.Evacuated, passed(t, fed, state, true), "the older state of another daemon changes nothing")

	// A daemon whose reader is lost gets everything from the next one.
	first = initialChange(later, 9, 4, 1)
	require.Equal(t, later.Evacuated, passed(t, started, change(&first, started.View(), 9), true))
	reader.Apply(time.Now(), catalog.State{Revision: 10, Evacuations: []catalog.Evacuation{{DataCentre: "a1", Revision: 10, Ended: true}}})
	first = initialChange(reader.View(), 10, 9, 1)
	require.Empty(t, passed(t, started, change(&first, started.View(), 10), true))
	next = diffViews(later, reader.View())
	require.Empty(t, passed(t, fed, change(&next, fed.View(), 10), false))
}

// Guards against an evacuation, or its end, that a daemon which is fed learns too late, also when its reader is lost at
// that moment, and against one that ends with the feed: the daemon reaches neither the store nor any reader then.
func TestFedDaemonFollowsEvacuations(t *testing.T) {
	runDecliningDaemon(t, 20, []int{12, 15}, func(region *testRegion, f *Follower) {
		t := region.t
		change := func(revision uint64, ended bool) {
			region.fleet.Apply(catalog.State{Revision: revision, Evacuations: []catalog.Evacuation{{DataCentre: "a1", Revision: revision, Ended: ended}}}, "store")
		}
		time.Sleep(5 * time.Second)
		change(2, false)
		time.Sleep(2 * frameInterval)
		require.True(t, f.Fleet.View().IsEvacuated("a1"))
		stopped := f.Reader()
		region.stop(stopped)
		change(3, true)
		time.Sleep(inForceTime)
		require.NotEqual(t, stopped, f.Reader())
		require.False(t, f.Fleet.View().IsEvacuated("a1"))
		change(4, false)
		time.Sleep(2 * frameInterval)
		region.close()
		time.Sleep(time.Minute)
		require.Empty(t, f.Reader())
		require.True(t, f.Fleet.View().IsEvacuated("a1"))
	})
}
