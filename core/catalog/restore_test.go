package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// era returns the state with all revisions in an era.
func era(n uint64, s State) State {
	s.Revision = Position(n, s.Revision)
	for i := range s.Entries {
		s.Entries[i].Revision = Position(n, s.Entries[i].Revision)
	}
	for i := range s.Evacuations {
		s.Evacuations[i].Revision = Position(n, s.Evacuations[i].Revision)
	}
	return s
}

// entryOf returns an entry in a state and with an incarnation.
func entryOf(id string, revision uint64, state model.State, incarnation uint64) Entry {
	e := listed(id, revision)
	e.Instance.State, e.Instance.Incarnation = state, incarnation
	// Instances at one address succeed each other, which these tests do not concern.
	e.Instance.Upstream = id + ":1"
	return e
}

func live(id string, revision uint64) Entry { return entryOf(id, revision, model.Live, 1) }

// stateOf returns the state that a daemon with this catalog sends to others.
func stateOf(c *Catalog) State {
	v := c.View()
	s := State{Revision: c.Revision(), Table: v.Table, Evacuations: v.Evacuated}
	for i := range v.Instances {
		s.Entries = append(s.Entries, Entry{ID: v.Instances[i].ID, Instance: &v.Instances[i], Revision: c.Revision()})
	}
	if v.Restore.Position > 0 {
		s.Restore, s.TableEra = &v.Restore, v.TableEra
	}
	return s
}

// Guards against a later era that sorts before an earlier one, against a revision or an era that is too large and
// changes the other part, and against a deployment without restores whose revisions change.
func TestPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eraA, eraB := rapid.Uint64Range(0, maxEra).Draw(t, "era"), rapid.Uint64Range(0, maxEra).Draw(t, "other era")
		a, b := rapid.Uint64().Draw(t, "revision"), rapid.Uint64().Draw(t, "other revision")
		position := Position(eraA, a)
		require.Equal(t, eraA, Era(position))
		require.Equal(t, min(a, maxRevision), StoreRevision(position))
		require.Equal(t, min(a, maxRevision), Position(0, a))
		if eraA < eraB {
			require.Less(t, position, Position(eraB, b))
		}
	})
	require.Equal(t, uint64(math.MaxUint64), Position(math.MaxUint64, math.MaxUint64), "nothing is newer")
}

// Guards against a fleet that follows nothing after a restore until the store's revisions have caught up, and against
// one that goes back to the previous era because of a daemon or a proxy that has not seen the new one.
func TestLaterEraIsNewerWhateverItsRevision(t *testing.T) {
	c := New()
	c.Replace(now, State{Revision: 500, Table: table(t, 5), Entries: []Entry{live("a", 490)}})
	require.False(t, c.Apply(now, era(1, State{Revision: 451, Entries: []Entry{live("x", 451)}})), "an update does not say what the copy lacks")
	require.Equal(t, uint64(500), c.Revision())
	require.True(t, c.Replace(now, era(1, State{Revision: 450, Entries: []Entry{live("a", 440)}})))
	require.Equal(t, Position(1, 450), c.Revision())
	require.Equal(t, Restore{Position(1, 450), now.Add(recoveryGrace)}, c.View().Restore)
	require.True(t, c.Apply(now, era(1, State{Revision: 451, Entries: []Entry{live("b", 451)}})))
	require.False(t, c.Replace(now, State{Revision: 900, Table: table(t, 9), Entries: []Entry{live("old", 900)}}))
	require.False(t, c.Apply(now, State{Revision: 901, Evacuations: []Evacuation{began("a1", 901)}}))
	require.Equal(t, []string{"a", "b"}, ids(c))
	require.Equal(t, uint64(5), c.View().Table.Version, "the copy has an older one")
}

// Guards against a daemon that starts with the state of a daemon which has not seen the restore and stays there, or
// goes back to it, whatever the order of the two states, and against one that starts during a restore without a state.
func TestStartWithStatesOfTwoEras(t *testing.T) {
	before := State{Revision: 500, Table: table(t, 5), Entries: []Entry{live("a", 490)}, Evacuations: []Evacuation{began("a1", 480)}}
	for _, newFirst := range []bool{false, true} {
		peer := New()
		peer.Replace(now, before)
		peer.Replace(now, era(1, State{Revision: 450, Entries: []Entry{live("a", 440), live("b", 450)}}))
		after := stateOf(peer)
		c := New()
		if newFirst {
			c.Replace(now, after)
			require.False(t, c.Replace(now, before))
		} else {
			c.Replace(now, before)
			require.True(t, c.Replace(now, after))
		}
		require.Equal(t, peer.View(), c.View())
		c.Expire(now.Add(recoveryGrace))
		require.Empty(t, c.View().Evacuated, "it ends with the grace period here as well")
	}
	fresh := New()
	require.True(t, fresh.Replace(now, era(3, State{Revision: 7, Entries: []Entry{live("a", 6)}})))
	require.Equal(t, []string{"a"}, ids(fresh))
}

// Guards against dropping a live instance that registered after the copy was made, against keeping one that does not
// register again, or one that was leaving, and against a grace period that another daemon measures anew.
func TestInstancesThatTheCopyLacks(t *testing.T) {
	c, cutOff, late := New(), New(), New()
	for _, each := range []*Catalog{c, cutOff, late} {
		each.Replace(now, State{Revision: 500, Entries: []Entry{
			live("a", 490), live("again", 460), live("gone", 461), entryOf("leaving", 462, model.Leaving, 1),
		}})
	}
	c.Replace(now, era(1, State{Revision: 450, Entries: []Entry{live("a", 440)}}))
	require.Equal(t, []string{"a", "again", "gone"}, ids(c))
	gone, _ := c.View().ByID("gone")
	require.Equal(t, now.Add(recoveryGrace), gone.LapsesAt)
	c.Replace(now.Add(time.Second/2), era(1, State{Revision: 450, Entries: []Entry{live("a", 440)}}))
	require.Equal(t, []string{"a", "again", "gone"}, ids(c), "a second read of the same state does not end the grace period")
	c.Apply(now.Add(time.Second), era(1, State{Revision: 451, Entries: []Entry{live("again", 451)}}))
	require.True(t, cutOff.Replace(now.Add(time.Second), stateOf(c)))
	require.Equal(t, c.View(), cutOff.View())
	require.False(t, c.Expire(now.Add(recoveryGrace-1)))
	require.True(t, c.Expire(now.Add(recoveryGrace)))
	require.Equal(t, []string{"a", "again"}, ids(c))
	require.True(t, late.Replace(now.Add(time.Minute), stateOf(c)))
	require.Equal(t, []string{"a", "again"}, ids(late), "the other daemon says that the grace period has passed")
	c.Apply(now, era(1, State{Revision: 452, Entries: []Entry{removed("a", 452)}}))
	require.Equal(t, []string{"again"}, ids(c), "what is removed after the return leaves at once")
}

// Guards against an instance that was draining and gets requests again because the copy lists it as ready, also if
// the state of another daemon does; a new incarnation is not concerned.
func TestLeavingStateDoesNotGoBack(t *testing.T) {
	c := New()
	c.Replace(now, State{Revision: 500, Entries: []Entry{entryOf("a", 490, model.Leaving, 1), entryOf("b", 491, model.Leaving, 1)}})
	c.Replace(now, era(1, State{Revision: 450, Entries: []Entry{live("a", 440), entryOf("b", 450, model.Live, 2)}}))
	state := func(id model.InstanceID) model.State {
		inst, ok := c.View().ByID(id)
		require.True(t, ok, id)
		return inst.State
	}
	require.Equal(t, model.Leaving, state("a"))
	require.Equal(t, model.Live, state("b"))
	other := New()
	other.Replace(now, era(1, State{Revision: 455, Entries: []Entry{live("a", 440), entryOf("b", 450, model.Live, 2)}}))
	c.Replace(now, stateOf(other))
	require.Equal(t, model.Leaving, state("a"))
	c.Apply(now, era(1, State{Revision: 456, Entries: []Entry{entryOf("a", 456, model.Live, 3)}}))
	require.Equal(t, model.Live, state("a"))
}

// Guards against requests to an instance that was removed and is listed in the copy, from the store or from a daemon
// that did not know of the removal, and against one that is left out although it has registered since the return, is
// another incarnation, or was removed long ago.
func TestRemovedInstanceInTheCopy(t *testing.T) {
	c, lagging := New(), New()
	entries := func() []Entry { return []Entry{live("a", 400), live("stays", 401), live("new", 402)} }
	for _, each := range []*Catalog{c, lagging} {
		each.Replace(now, State{Revision: 450, Entries: entries()})
	}
	c.Apply(now, State{Revision: 470, Entries: []Entry{removed("a", 468), removed("new", 469)}})
	copied := era(1, State{Revision: 452, Entries: []Entry{live("a", 400), live("stays", 401), entryOf("new", 402, model.Live, 2)}})
	c.Replace(now, copied)
	require.Equal(t, []string{"new", "stays"}, ids(c))
	require.False(t, c.Apply(now, era(1, State{Revision: 452, Entries: []Entry{live("a", 452)}})), "it may have been written before the copy was made")

	lagging.Replace(now, copied)
	require.Equal(t, []string{"a", "new", "stays"}, ids(lagging))
	c.Replace(now, stateOf(lagging))
	require.Equal(t, []string{"new", "stays"}, ids(c), "the other daemon did not know of the removal")
	lacking := New()
	lacking.Replace(now, State{Revision: 450, Entries: entries()})
	lacking.Replace(now, era(1, State{Revision: 452}))
	c.Replace(now, stateOf(lacking))
	require.NotContains(t, ids(c), "a", "nor did one that keeps it during the grace period")

	// The instance registers again. Daemons that a reader feeds get its view only.
	require.True(t, lagging.Apply(now, era(1, State{Revision: 453, Entries: []Entry{live("a", 453)}})), "the first write after the return is passed on")
	require.True(t, c.Replace(now, stateOf(lagging)))
	require.Equal(t, []string{"a", "new", "stays"}, ids(c))
	require.False(t, lagging.Apply(now, era(1, State{Revision: 454, Entries: []Entry{live("a", 454)}})), "a heartbeat")

	old := New()
	old.Replace(now, State{Revision: 450, Entries: entries()})
	old.Apply(now, State{Revision: 470, Entries: []Entry{removed("a", 468)}})
	old.Expire(now.Add(removalMemory - 1))
	require.Len(t, old.removed.byID, 1)
	old.Expire(now.Add(removalMemory))
	require.Empty(t, old.removed.byID)
	require.Empty(t, old.removed.order)
}

// Guards against a copy that replaces a live instance by its draining predecessor, or a leaving one by its live
// predecessor, against a daemon that does so for another daemon, and against keeping the known instance for good.
func TestEarlierIncarnationInTheCopy(t *testing.T) {
	for _, known := range []model.State{model.Live, model.Leaving} {
		predecessor := model.Leaving
		if known == model.Leaving {
			predecessor = model.Live
		}
		c, lagging := New(), New()
		for _, each := range []*Catalog{c, lagging} {
			each.Replace(now, State{Revision: 10, Entries: []Entry{entryOf("a", 10, predecessor, 1)}})
		}
		c.Apply(now, State{Revision: 20, Entries: []Entry{entryOf("a", 20, known, 2)}})
		copied := era(1, State{Revision: 12, Entries: []Entry{entryOf("a", 10, predecessor, 1)}})
		c.Replace(now, copied)
		lagging.Replace(now, copied)
		requireKnown := func() {
			t.Helper()
			require.Len(t, c.View().Instances, 1)
			inst := c.View().Instances[0]
			require.Equal(t, uint64(2), inst.Incarnation)
			require.Equal(t, known, inst.State)
			require.Equal(t, now.Add(recoveryGrace), inst.LapsesAt)
		}
		requireKnown()
		require.False(t, c.Replace(now, copied), "a second read of the same state")
		c.Replace(now, stateOf(lagging))
		requireKnown()
		lagging.Replace(now, stateOf(c))
		require.Equal(t, c.View(), lagging.View(), "the other daemon learns the later incarnation")

		written := New()
		written.Replace(now, stateOf(c))
		written.Apply(now, era(1, State{Revision: 13, Entries: []Entry{entryOf("a", 13, model.Live, 2)}}))
		inst, _ := written.View().ByID("a")
		require.Zero(t, inst.LapsesAt, "it has registered again")
		written.Apply(now, era(1, State{Revision: 14, Entries: []Entry{entryOf("a", 14, model.Live, 1)}}))
		inst, _ = written.View().ByID("a")
		require.Equal(t, uint64(1), inst.Incarnation, "an entry that was written after the return counts")

		require.True(t, c.Expire(now.Add(recoveryGrace)))
		require.False(t, c.Replace(now.Add(recoveryGrace), copied), "it is earlier than the removed incarnation")
		require.Empty(t, c.View().Instances)
	}
}

// Guards against a deployment without the header in which an earlier incarnation no longer replaces a later one, as
// after a clock that was set back.
func TestEarlierIncarnationWithoutARestore(t *testing.T) {
	c := New()
	c.Replace(now, State{Revision: 10, Entries: []Entry{entryOf("a", 10, model.Live, 2), entryOf("b", 10, model.Live, 2)}})
	c.Replace(now, State{Revision: 20, Entries: []Entry{entryOf("a", 15, model.Live, 1)}})
	c.Replace(now, State{Revision: 30, Entries: []Entry{entryOf("a", 15, model.Live, 1), entryOf("b", 25, model.Live, 1)}})
	for _, inst := range c.View().Instances {
		require.Equal(t, uint64(1), inst.Incarnation, inst.ID)
		require.Zero(t, inst.LapsesAt, inst.ID)
	}
	require.Len(t, c.View().Instances, 2)
}

// Guards against an incarnation that is known as removed and is used again because another one of the same instance
// was removed last, also if that one is earlier, as after a clock that was set back.
func TestInstanceThatWasRemovedTwice(t *testing.T) {
	for _, first := range []uint64{1, 2} {
		second := 3 - first
		c := New()
		c.Replace(now, State{Revision: 10, Entries: []Entry{entryOf("a", 10, model.Live, first)}})
		c.Apply(now, State{Revision: 20, Entries: []Entry{removed("a", 20)}})
		c.Apply(now, State{Revision: 30, Entries: []Entry{entryOf("a", 30, model.Live, second)}})
		c.Apply(now, State{Revision: 40, Entries: []Entry{removed("a", 40)}})
		c.Replace(now, era(1, State{Revision: 12, Entries: []Entry{entryOf("a", 10, model.Live, first)}}))
		require.Empty(t, c.View().Instances, "incarnation %d was removed before %d", first, second)
	}
}

// Guards against memory that grows with each instance that was ever removed, and against forgetting the last ones.
func TestRememberedRemovalsAreBounded(t *testing.T) {
	var r removals
	for n := range 2*maxRemembered + 1 {
		inst := Instance{}
		inst.ID, inst.Incarnation = model.InstanceID(rune('a'+n%3)), uint64(n)
		if n >= maxRemembered {
			inst.ID += "x"
		}
		r.add(now.Add(time.Duration(n)), &inst)
	}
	require.Len(t, r.order, maxRemembered)
	require.Len(t, r.byID, 3)
	last := Instance{}
	last.ID, last.Incarnation = model.InstanceID(rune('a'+2*maxRemembered%3))+"x", 2*maxRemembered
	require.True(t, r.contains(&last))
}

// Guards against an evacuation that ends for a moment because the copy lacks it, against one that never ends, and
// against one in the copy that is not in force.
func TestEvacuationsAfterARestore(t *testing.T) {
	c := New()
	c.Replace(now, evacuations(500, began("kept", 460), began("again", 461), began("ended", 462), began("listed", 400)))
	c.Apply(now, evacuations(501, ended("back", 501)))
	c.Replace(now, era(1, evacuations(450, began("listed", 400), began("back", 401))))
	names := func(c *Catalog) (list []string) {
		for _, e := range c.View().Evacuated {
			list = append(list, e.DataCentre)
		}
		return list
	}
	require.Equal(t, []string{"again", "back", "ended", "kept", "listed"}, names(c))
	require.False(t, c.Replace(now, era(1, evacuations(451, began("listed", 400), began("back", 401)))))
	require.Equal(t, []string{"again", "back", "ended", "kept", "listed"}, names(c), "a second read does not end the grace period")
	require.True(t, c.Apply(now, era(1, evacuations(452, began("again", 452)))), "others must know that it does not end")
	c.Apply(now, era(1, evacuations(453, ended("ended", 453))))
	started := New()
	started.Replace(now, stateOf(c))
	for _, each := range []*Catalog{c, started} {
		require.Equal(t, []string{"again", "back", "kept", "listed"}, names(each))
		require.False(t, each.Expire(now.Add(recoveryGrace-1)))
		require.True(t, each.Expire(now.Add(recoveryGrace)))
		require.Equal(t, []string{"again", "back", "listed"}, names(each))
	}
}

// Guards against live instances and evacuations that are dropped because the store is restored once more before
// they were written again, and against ones that stay for good.
func TestTwoRestoresInARow(t *testing.T) {
	c := New()
	c.Replace(now, State{Revision: 500, Entries: []Entry{live("a", 1), live("b", 460)}, Evacuations: []Evacuation{began("a1", 461)}})
	c.Replace(now, era(1, State{Revision: 450, Entries: []Entry{live("a", 1)}}))
	later := now.Add(1500 * time.Millisecond)
	c.Apply(later, era(1, State{Revision: 451, Entries: []Entry{live("c", 451)}}))
	c.Replace(later, era(2, State{Revision: 449, Entries: []Entry{live("a", 1)}}))
	require.False(t, c.Expire(now.Add(recoveryGrace)))
	require.Equal(t, []string{"a", "b", "c"}, ids(c))
	require.True(t, c.View().IsEvacuated("a1"))
	require.True(t, c.Expire(later.Add(recoveryGrace)))
	require.Equal(t, []string{"a"}, ids(c))
	require.Empty(t, c.View().Evacuated)
	skipped := New()
	skipped.Replace(now, State{Revision: 500, Entries: []Entry{live("a", 1), live("b", 460)}})
	require.True(t, skipped.Replace(now, era(2, State{Revision: 520, Entries: []Entry{live("a", 1)}})), "nobody noticed the first restore")
	require.Equal(t, []string{"a", "b"}, ids(skipped))
}

// Guards against a table that goes back to the version of the copy, against one that is applied again although nothing
// has changed, and against daemons with other contents than the store under the same version.
func TestTableThatIsWrittenAgain(t *testing.T) {
	with := func(version uint64, limit int64) *route.Table {
		made, err := route.New(version, nil, []route.Service{{Name: "s"}}, route.Limits{MaxBodyBytes: limit})
		require.NoError(t, err)
		return made
	}
	lost, again, other := with(7, 1), with(7, 1), with(7, 2)
	c := New()
	c.Replace(now, State{Revision: 500, Table: lost})
	c.Replace(now, era(1, State{Revision: 450, Table: with(6, 0)}))
	require.Same(t, lost, c.View().Table)
	peer := New()
	peer.Replace(now, stateOf(c))
	c.Apply(now, era(1, State{Revision: 451, Table: again}))
	require.Same(t, lost, c.View().Table)

	rewritten := New()
	rewritten.Replace(now, State{Revision: 500, Table: lost})
	rewritten.Replace(now, era(1, State{Revision: 450}))
	require.True(t, rewritten.Apply(now, era(1, State{Revision: 451, Table: other})))
	require.Same(t, other, rewritten.View().Table)
	require.True(t, peer.Replace(now, stateOf(rewritten)), "the peer got the lost table from another daemon in the new era")
	require.Same(t, other, peer.View().Table)
	behind := New()
	behind.Replace(now, State{Revision: 500, Table: lost})
	behind.Replace(now, era(1, State{Revision: 452}))
	require.False(t, rewritten.Replace(now, stateOf(behind)), "it has not read the other contents yet")
	require.Same(t, other, rewritten.View().Table)
	same := New()
	same.Replace(now, State{Revision: 500, Table: lost})
	require.False(t, same.Apply(now, State{Revision: 501, Table: other}), "without a restore the first contents stay")
}

// Guards against a deployment without the header that is served differently: leaving instances may return, removed ones
// may be listed again, and nothing is marked as copied.
func TestNoRestoreNothingChanges(t *testing.T) {
	c := New()
	c.Replace(now, State{Revision: 5, Entries: []Entry{entryOf("a", 4, model.Leaving, 1), live("b", 5)}})
	c.Apply(now, State{Revision: 6, Entries: []Entry{removed("b", 6)}})
	c.Replace(now, State{Revision: 8, Entries: []Entry{live("a", 7), live("b", 0)}})
	require.Equal(t, []string{"a", "b"}, ids(c))
	for _, inst := range c.View().Instances {
		require.Equal(t, model.Live, inst.State)
		require.False(t, inst.Copied)
	}
	require.Zero(t, c.View().Restore)
}
