package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
)

// Guards against a daemon that reads the store again only long after the end of an outage and
// treats instances removed since then as expired during the outage.
func TestOutageOfOneDaemonIsNotAStoreOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	var p freshness
	p.responseReceived(now)
	for n := range 5 {
		p.callFailed(now.Add(time.Duration(n) * time.Second))
	}
	require.True(t, p.storeAway(now.Add(5*time.Second)))
	p.peerProved(now.Add(4500 * time.Millisecond))
	require.False(t, p.storeAway(now.Add(5*time.Second)), "another daemon has read it")
	require.False(t, p.storeAway(now.Add(time.Minute)), "no call has failed since then")
	p.callFailed(now.Add(58 * time.Second))
	p.callFailed(now.Add(59 * time.Second))
	require.True(t, p.storeAway(now.Add(time.Minute)))
	p.responseReceived(now.Add(time.Minute))
	require.False(t, p.storeAway(now.Add(2*time.Minute)))
}

// simStore simulates a store with a history of changes and with outages.
type simStore struct {
	down     bool
	revision uint64
	entries  map[model.InstanceID]catalog.Entry
	history  []catalog.Entry
}

func (s *simStore) change(id model.InstanceID, inst *catalog.Instance) {
	s.revision++
	e := catalog.Entry{ID: id, Instance: inst, Revision: s.revision}
	s.history = append(s.history, e)
	delete(s.entries, id)
	if inst != nil {
		s.entries[id] = e
	}
}

func (s *simStore) ids() []string {
	list := []string{}
	for id := range s.entries {
		list = append(list, string(id))
	}
	slices.Sort(list)
	return list
}

// simDaemon is the state of a daemon, without its connections.
type simDaemon struct {
	catalog   *catalog.Catalog
	freshness freshness
	// recoveryRevision is the store revision at the end of the last outage that the daemon itself detected.
	recoveryRevision uint64
}

// read reads the store, either a full list or the changes of a watch.
func (d *simDaemon) read(now time.Time, s *simStore, list bool) {
	if s.down {
		d.freshness.callFailed(now)
		return
	}
	state := catalog.State{Revision: s.revision}
	for _, e := range s.history {
		if !list && e.Revision > d.catalog.Revision() {
			state.Entries = append(state.Entries, e)
		}
	}
	if d.freshness.storeAway(now) {
		d.recoveryRevision = s.revision
		d.catalog.StoreRecovered(now, s.revision)
	}
	if list {
		for _, e := range s.entries {
			state.Entries = append(state.Entries, e)
		}
		d.catalog.Replace(now, state)
	} else {
		d.catalog.Apply(now, state)
	}
	d.freshness.responseReceived(now)
}

// feedFrom applies the first change of a feed from another daemon.
func (d *simDaemon) feedFrom(t require.TestingT, now time.Time, other *simDaemon) {
	c := initialChange(other.catalog.View(), other.catalog.Revision(), d.catalog.Revision(), 0)
	c.Put = slices.Clone(c.Put)
	c.Lapses = removalDelaysOf(now, c.Put)
	data, err := c.pack()
	require.NoError(t, err)
	c, err = unpack(data)
	require.NoError(t, err)
	delays := c.Lapses
	c.Lapses = nil
	state, err := c.state(d.catalog.View(), other.catalog.Revision())
	require.NoError(t, err)
	delays.restore(now, c.Put)
	if c.Whole {
		d.catalog.Replace(now, state)
	} else {
		d.catalog.Apply(now, state)
	}
	age, _ := other.freshness.ages(now)
	d.freshness.peerProved(now.Add(-age))
}

func (d *simDaemon) ids() []string {
	list := []string{}
	for _, inst := range d.catalog.View().Instances {
		list = append(list, string(inst.ID))
	}
	return list
}

// Guards against daemons that keep an instance removed after the end of an outage, that keep an
// expired one beyond the grace period for registering again, or that disagree permanently. The
// order of outages, reads, feeds and changes is random.
func TestDaemonsAgreeOnTheListAfterOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRemaining = 2 * time.Second // that an expired instance may stay after a read
		now := time.Unix(1000, 0)
		store := &simStore{entries: make(map[model.InstanceID]catalog.Entry)}
		daemons := make([]*simDaemon, 3)
		for n := range daemons {
			daemons[n] = &simDaemon{catalog: catalog.New()}
			daemons[n].freshness.responseReceived(now)
		}
		pick := func() *simDaemon { return daemons[rapid.IntRange(0, 2).Draw(t, "daemon")] }
		check := func() {
			for _, d := range daemons {
				d.catalog.Expire(now)
				for _, inst := range d.catalog.View().Instances {
					require.LessOrEqual(t, inst.LapsesAt.Sub(now), maxRemaining)
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := model.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "instance")))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				store.change(id, &catalog.Instance{Instance: model.Instance{ID: id}, Upstream: string(id)})
			case 1:
				if _, listed := store.entries[id]; listed {
					store.change(id, nil)
				}
			case 2:
				store.down = !store.down
			case 3, 4:
				d := pick()
				before := d.catalog.Revision()
				list := rapid.Bool().Draw(t, "list")
				d.read(now, store, list)
				for _, e := range store.history {
					_, listed := store.entries[e.ID]
					if !store.down && !list && !listed && e.Instance == nil && e.Revision > max(before, d.recoveryRevision) {
						require.NotContains(t, d.ids(), string(e.ID), "it was removed after the end of the outage")
					}
				}
			default:
				if d, other := pick(), pick(); d != other {
					d.feedFrom(t, now, other)
				}
			}
			check()
		}
		store.down = false
		for _, d := range daemons {
			d.read(now, store, false)
		}
		now = now.Add(maxRemaining)
		check()
		for _, d := range daemons {
			require.Equal(t, store.ids(), d.ids())
		}
	})
}
