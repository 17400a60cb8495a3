package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

var now = time.Unix(1000, 0)

func listed(id string, revision uint64) Entry {
	inst := &Instance{Upstream: "10.0.0.1:1", Slots: 9}
	inst.ID, inst.Service = model.InstanceID(id), "s"
	return Entry{ID: inst.ID, Instance: inst, Revision: revision}
}

func removed(id string, revision uint64) Entry {
	return Entry{ID: model.InstanceID(id), Revision: revision}
}

func table(t *testing.T, version uint64) *route.Table {
	made, err := route.New(version, nil, []route.Service{{Name: "s"}}, route.Limits{})
	require.NoError(t, err)
	return made
}

func ids(c *Catalog) []string {
	out := []string{}
	for _, inst := range c.View().Instances {
		out = append(out, string(inst.ID))
	}
	return out
}

// Guards against replacing the route table or the instances by older ones, in snapshots as well as
// in updates.
func TestOlderStateIsIgnored(t *testing.T) {
	c := New()
	require.True(t, c.Replace(now, State{Revision: 10, Table: table(t, 5), Entries: []Entry{listed("a", 9)}}))
	require.False(t, c.Apply(now, State{Revision: 9, Table: table(t, 6)}))
	require.False(t, c.Replace(now, State{Revision: 8, Entries: []Entry{listed("b", 8)}}))
	require.False(t, c.Apply(now, State{Revision: 11, Table: table(t, 4)}))
	require.Equal(t, uint64(5), c.View().Table.Version)
	require.Equal(t, []string{"a"}, ids(c))
	require.Equal(t, uint64(11), c.Revision())
}

// Guards against an older entry replacing a newer one when updates overlap.
func TestOlderEntryDoesNotReplaceNewer(t *testing.T) {
	c := New()
	c.Apply(now, State{Revision: 20, Entries: []Entry{removed("a", 20), listed("b", 19)}})
	c.Apply(now, State{Revision: 21, Entries: []Entry{listed("a", 21)}})
	c.Apply(now, State{Revision: 21, Entries: []Entry{removed("a", 20)}})
	require.Equal(t, []string{"a", "b"}, ids(c))
}

// Guards against using an instance whose entry is invalid, and against dropping other instances
// because of it.
func TestInvalidEntryIsNotUsed(t *testing.T) {
	c := New()
	c.Apply(now, State{Revision: 2, Entries: []Entry{listed("a", 1), listed("b", 2)}})
	c.Apply(now, State{Revision: 3, Entries: []Entry{{ID: "a", Problem: "not JSON", Revision: 3}}})
	require.Equal(t, []string{"b"}, ids(c))
}

// Guards against sending requests to instances that were removed, and against dropping live ones
// whose entries expired during a store outage.
func TestRemovalAfterAnOutageWaitsForTheGracePeriod(t *testing.T) {
	c := New()
	c.Replace(now, State{Revision: 5, Entries: []Entry{listed("a", 1), listed("b", 2), listed("c", 3)}})
	c.Apply(now, State{Revision: 6, Entries: []Entry{removed("c", 6)}})
	require.Equal(t, []string{"a", "b"}, ids(c), "without an outage, an instance is removed at once")

	c.StoreRecovered(now, 9)
	c.Replace(now, State{Revision: 9, Entries: nil})
	require.Equal(t, []string{"a", "b"}, ids(c))
	c.Apply(now.Add(time.Second), State{Revision: 10, Entries: []Entry{listed("a", 10)}})
	require.False(t, c.Expire(now.Add(1900*time.Millisecond)))
	require.True(t, c.Expire(now.Add(recoveryGrace)))
	require.Equal(t, []string{"a"}, ids(c))
}

// Guards against sending requests to an instance that is removed after the end of a store outage,
// and against extending the grace period of an instance whose entry expired during the outage.
func TestRemovalAfterTheOutageIsImmediate(t *testing.T) {
	c := New()
	c.Replace(now, State{Revision: 5, Entries: []Entry{listed("a", 1), listed("b", 2)}})
	c.StoreRecovered(now, 6)
	require.True(t, c.Apply(now, State{Revision: 6, Entries: []Entry{removed("a", 6)}}), "setting LapsesAt changes the view")
	c.Apply(now, State{Revision: 7, Entries: []Entry{removed("b", 7)}})
	require.Equal(t, []string{"a"}, ids(c))
	c.Replace(now, State{Revision: 8})
	require.Equal(t, []string{"a"}, ids(c), "a later snapshot without it does not end the grace period")
	require.False(t, c.Apply(now, State{Revision: 8, Entries: []Entry{removed("a", 6)}}))
	require.Equal(t, now.Add(recoveryGrace), c.View().Instances[0].LapsesAt)
	require.True(t, c.Apply(now, State{Revision: 9, Entries: []Entry{listed("a", 9)}}))
	require.Zero(t, c.View().Instances[0].LapsesAt)
	c.Apply(now, State{Revision: 10, Entries: []Entry{removed("a", 10)}})
	require.Empty(t, ids(c), "it was registered again and then removed")
}

// Guards against keeping an instance that shut down gracefully in use during the grace period
// after a store outage.
func TestDrainingInstanceIsRemovedAtOnce(t *testing.T) {
	c := New()
	leaving := listed("a", 1)
	leaving.Instance.State = model.Leaving
	c.Replace(now, State{Revision: 5, Entries: []Entry{leaving}})
	c.StoreRecovered(now, 6)
	c.Apply(now, State{Revision: 6, Entries: []Entry{removed("a", 6)}})
	require.Empty(t, ids(c))
}

// Guards against publishing a new view for each heartbeat, which changes only the revision of an
// entry.
func TestHeartbeatChangesNothing(t *testing.T) {
	c := New()
	require.True(t, c.Apply(now, State{Revision: 1, Entries: []Entry{listed("a", 1)}}))
	require.False(t, c.Apply(now, State{Revision: 2, Entries: []Entry{listed("a", 2)}}))
}

// Guards against returning a stopped instance for an upstream address that a newer one reuses.
func TestAtReturnsTheLatestIncarnation(t *testing.T) {
	old, fresh := listed("a", 1), listed("b", 2)
	old.Instance.Incarnation, fresh.Instance.Incarnation = 100, 200
	c := New()
	c.Apply(now, State{Revision: 2, Entries: []Entry{old, fresh}})
	inst, ok := c.View().ByUpstream("10.0.0.1:1")
	require.True(t, ok)
	require.Equal(t, model.InstanceID("b"), inst.ID)
}

// Guards against sending every second request to a stopped instance after a power failure: all
// instances register under new IDs while the store still lists the old ones.
func TestEndedInstanceIsReplacedByTheNextAtItsAddress(t *testing.T) {
	c := New()
	var old, fresh []Entry
	for n := range 10 {
		before, after := listed(fmt.Sprint("old-", n), 1), listed(fmt.Sprint("new-", n), 2)
		before.Instance.Upstream = fmt.Sprintf("10.0.0.%d:1", n)
		after.Instance.Upstream = before.Instance.Upstream
		before.Instance.Incarnation, after.Instance.Incarnation = 100, 200
		before.Instance.Created, after.Instance.Created = 1, 2
		old, fresh = append(old, before), append(fresh, after)
	}
	c.Replace(now, State{Revision: 1, Entries: old})
	require.Len(t, c.View().Instances, 10)
	c.Apply(now, State{Revision: 2, Entries: fresh})
	require.Len(t, c.View().Instances, 10)
	for _, inst := range c.View().Instances {
		require.Contains(t, string(inst.ID), "new-")
	}
	c.Apply(now, State{Revision: 3, Entries: []Entry{removed("new-3", 3)}})
	require.Len(t, c.View().Instances, 10)
	require.Equal(t, model.InstanceID("old-3"), c.View().Instances[9].ID)
}

// Guards against hiding a live instance whose clock was set back before it started, or whose
// predecessor was registered again by a delayed write.
func TestInstancesStayWhileItIsUnclearWhichHasEnded(t *testing.T) {
	old, fresh := listed("a", 1), listed("b", 2)
	old.Instance.Incarnation, fresh.Instance.Incarnation = 200, 100
	old.Instance.Created, fresh.Instance.Created = 1, 2
	c := New()
	c.Apply(now, State{Revision: 2, Entries: []Entry{old, fresh}})
	require.Equal(t, []string{"a", "b"}, ids(c), "the clock was set back")

	again := listed("a", 3)
	again.Instance.Incarnation, again.Instance.Created = 50, 3
	c.Apply(now, State{Revision: 3, Entries: []Entry{again}})
	require.Equal(t, []string{"a", "b"}, ids(c), "a delayed write")
}

// Guards against daemons that use different instances of the same list: which of two with the same start
// time counted as the latest depended on the order of a map.
func TestInstancesWithTheSameStartTimeAreOrdered(t *testing.T) {
	var entries []Entry
	for id, created := range map[string]uint64{"first": 0, "older": 5, "second": 5} {
		e := listed(id, 1)
		e.Instance.Incarnation, e.Instance.Created = 1, created
		if id == "older" {
			e.Instance.Incarnation = 0
		}
		entries = append(entries, e)
	}
	for range 50 {
		c := New()
		c.Apply(now, State{Revision: 1, Table: table(t, 1), Entries: entries})
		require.Equal(t, []string{"first", "second"}, ids(c))
	}
}
