package catalog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func began(name string, revision uint64) Evacuation {
	return Evacuation{DataCentre: name, Revision: revision}
}

func ended(name string, revision uint64) Evacuation {
	return Evacuation{DataCentre: name, Revision: revision, Ended: true}
}

func evacuations(revision uint64, list ...Evacuation) State {
	return State{Revision: revision, Evacuations: list}
}

// Guards against an evacuation that a watch begins or ends without effect, and against a new view for an item
// that is written again.
func TestWatchBeginsAndEndsAnEvacuation(t *testing.T) {
	c := New()
	require.True(t, c.Apply(now, evacuations(5, began("a2", 4), began("a1", 5))))
	require.Equal(t, []Evacuation{began("a1", 5), began("a2", 4)}, c.View().Evacuated)
	require.True(t, c.View().IsEvacuated("a2"))
	require.False(t, c.View().IsEvacuated("b1"))
	require.False(t, c.Apply(now, evacuations(6, began("a1", 6))), "written again")
	require.True(t, c.Apply(now, evacuations(7, ended("a1", 7))))
	require.Equal(t, []Evacuation{began("a2", 4)}, c.View().Evacuated)
	require.False(t, c.Apply(now, evacuations(8, ended("a1", 8))), "it has ended before")
}

// Guards against an evacuation that continues although the full state lacks its item, and against one that ends
// because the state was read before its last change.
func TestFullReadWithoutTheItemEndsAnEvacuation(t *testing.T) {
	c := New()
	c.Replace(now, evacuations(10, began("a1", 4), began("a2", 12))) // a2 was read on a later page
	require.True(t, c.Replace(now, evacuations(11)))
	require.Equal(t, []Evacuation{began("a2", 12)}, c.View().Evacuated, "its change is later than the state")
	require.False(t, c.Apply(now, evacuations(11, ended("a2", 11))), "an earlier evacuation has ended")
	require.True(t, c.Replace(now, evacuations(12)))
	require.Empty(t, c.View().Evacuated)
}

// Guards against an older full state, of another daemon or of a read that took long, that begins an evacuation again
// or ends a newer one.
func TestOlderFullReadChangesNoEvacuation(t *testing.T) {
	c := New()
	c.Apply(now, evacuations(4, began("a1", 4)))
	c.Apply(now, evacuations(9, ended("a1", 8), began("a2", 9)))
	require.False(t, c.Replace(now, evacuations(7, began("a1", 4))))
	require.False(t, c.Apply(now, evacuations(8, began("a1", 4), ended("a2", 7))))
	require.Equal(t, []Evacuation{began("a2", 9)}, c.View().Evacuated)
}

// Guards against an outcome that depends on the order in which several changes of one data centre arrive in one
// answer.
func TestLastOfSeveralChangesCounts(t *testing.T) {
	changes := []Evacuation{began("a1", 5), ended("a1", 6), began("a1", 7), began("a2", 5), ended("a2", 8)}
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		c.Apply(now, evacuations(9, rapid.Permutation(changes).Draw(t, "order")...))
		require.Equal(t, []Evacuation{began("a1", 7)}, c.View().Evacuated)
	})
}

// Guards against an evacuation that ends or continues because of an outage of the store: the grace period is for
// instances, which register again by themselves.
func TestEvacuationIsNotAffectedByAnOutage(t *testing.T) {
	c := New()
	c.Apply(now, evacuations(4, began("a1", 4)))
	c.StoreRecovered(now, 6)
	c.Expire(now.Add(2 * recoveryGrace))
	require.True(t, c.View().IsEvacuated("a1"))
	c.StoreRecovered(now, 9)
	require.True(t, c.Replace(now, evacuations(9)))
	require.False(t, c.View().IsEvacuated("a1"))
}

// Guards against daemons that disagree for good about evacuations: they read the full state, whose pages may include
// later changes, or the changes since their revision, and the state of another daemon, in any order.
func TestCatalogsAgreeOnEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Evacuation // in order of revision
		at := func(revision uint64) []Evacuation {
			current := map[string]Evacuation{}
			for _, e := range history {
				if e.Revision <= revision {
					current[e.DataCentre] = e
				}
			}
			var list []Evacuation
			for _, e := range current {
				if !e.Ended {
					list = append(list, e)
				}
			}
			slices.SortFunc(list, func(a, b Evacuation) int { return int(a.Revision) - int(b.Revision) })
			return list
		}
		both := []*Catalog{New(), New()}
		watch := func(c *Catalog) {
			s := State{Revision: uint64(len(history))}
			for _, e := range history {
				if e.Revision > c.Revision() {
					s.Evacuations = append(s.Evacuations, e)
				}
			}
			c.Apply(now, s)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 1).Draw(t, "catalog")
			switch latest := uint64(len(history)); rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				name := fmt.Sprint("dc", rapid.IntRange(0, 2).Draw(t, "data centre"))
				history = append(history, Evacuation{DataCentre: name, Revision: latest + 1, Ended: rapid.Bool().Draw(t, "end")})
			case 2:
				// The first page is read some changes before the one with the evacuations.
				first := rapid.Uint64Range(latest-min(latest, 3), latest).Draw(t, "first page")
				both[n].Replace(now, State{Revision: first, Evacuations: at(latest)})
			case 3:
				watch(both[n])
			default:
				from := both[1-n]
				both[n].Replace(now, State{Revision: from.Revision(), Evacuations: from.View().Evacuated})
			}
		}
		for _, c := range both {
			watch(c)
			var names, want []string
			for _, e := range c.View().Evacuated {
				names = append(names, e.DataCentre)
			}
			for _, e := range at(uint64(len(history))) {
				want = append(want, e.DataCentre)
			}
			require.ElementsMatch(t, want, names)
		}
	})
}
