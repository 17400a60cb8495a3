package mesh_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// graceTime is the time after which instances that the copy lacks are no longer used.
const graceTime = 2 * time.Second

// followLogged runs a follower in virtual time and expires what has to, as a daemon does.
func followLogged(t *testing.T, peers mesh.Peers, test func(store *meshtest.Store, f *mesh.Follower, logs *observer.ObservedLogs)) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		store := meshtest.NewStore()
		fleet := mesh.NewFleet(zap.New(core), func(time.Time, *catalog.View) {})
		f := &mesh.Follower{Store: store, Fleet: fleet, Peers: peers, Log: zap.New(core)}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { f.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				fleet.Expire(time.Now())
				time.Sleep(50 * time.Millisecond)
			}
		})
		test(store, f, logs)
	})
}

func idsOf(f *mesh.Fleet) []model.InstanceID {
	list := []model.InstanceID{}
	for _, inst := range f.View().Instances {
		list = append(list, inst.ID)
	}
	return list
}

func at(id, upstream string) catalog.Instance {
	inst := instance(id)
	inst.Upstream = upstream
	return inst
}

// Guards against a daemon that follows nothing after a restore until the store's revisions have caught up ("fewer"),
// that misses changes because a watch after a revision which was assigned again succeeds ("more", "same"), or that
// does not notice a restore because it kept its connection ("unnoticed"), and against dropping a live instance that
// registered after the copy was made.
func TestFollowsTheStoreAfterARestore(t *testing.T) {
	for name, c := range map[string]struct {
		writes    int
		unnoticed bool
	}{
		"fewer": {writes: 1}, "same": {writes: 4}, "more": {writes: 9},
		"fewer, unnoticed": {writes: 1, unnoticed: true}, "more, unnoticed": {writes: 9, unnoticed: true},
	} {
		t.Run(name, func(t *testing.T) {
			followLogged(t, noPeers{}, func(store *meshtest.Store, f *mesh.Follower, logs *observer.ObservedLogs) {
				store.SetTable(meshtest.Table(1, "back"))
				store.Put(at("a", "10.0.0.1:1"))
				copied := store.Copy()
				for range 2 {
					store.Put(at("a", "10.0.0.1:1"))
				}
				store.Put(at("alive", "10.0.0.2:1"))
				store.Put(at("lost", "10.0.0.3:1"))
				store.Evacuate("a2")
				lost := store.Revision()
				time.Sleep(inForce)
				store.SetDown(!c.unnoticed)
				store.Restore(copied)
				store.Put(at("new", "10.0.0.4:1"))
				for range c.writes - 1 {
					store.Put(at("a", "10.0.0.1:1"))
				}
				store.SetTable(meshtest.Table(2, "back"))
				restored := store.Revision()
				store.SetDown(false)
				time.Sleep(time.Second)
				require.Equal(t, uint64(2), version(f.Fleet))
				require.Equal(t, []model.InstanceID{"a", "alive", "lost", "new"}, idsOf(f.Fleet))
				require.True(t, f.Fleet.View().IsEvacuated("a2"))
				store.Put(at("alive", "10.0.0.2:1"))
				time.Sleep(graceTime)
				require.Equal(t, []model.InstanceID{"a", "alive", "new"}, idsOf(f.Fleet))
				require.False(t, f.Fleet.View().IsEvacuated("a2"))
				require.True(t, f.Fresh())
				lines := logs.FilterMessage("store_restored").All()
				require.Len(t, lines, 1)
				require.Equal(t, map[string]any{
					"previous_era": uint64(0), "previous_revision": lost, "era": uint64(1), "revision": restored, "source": "store",
				}, lines[0].ContextMap())
			})
		})
	}
}

// Guards against a daemon that stays in the era of the first of two restores, also if it was away during both.
func TestFollowsTheStoreAfterTwoRestores(t *testing.T) {
	for name, noticed := range map[string]time.Duration{"one by one": time.Second, "at once": 0} {
		t.Run(name, func(t *testing.T) {
			followLogged(t, noPeers{}, func(store *meshtest.Store, f *mesh.Follower, logs *observer.ObservedLogs) {
				store.SetTable(meshtest.Table(1, "back"))
				copied := store.Copy()
				store.Put(at("a", "10.0.0.1:1"))
				time.Sleep(inForce)
				store.Restore(copied)
				time.Sleep(noticed)
				store.Restore(copied)
				store.Put(at("b", "10.0.0.2:1"))
				time.Sleep(time.Second)
				require.Equal(t, catalog.Position(2, store.Revision()), f.Fleet.Revision())
				require.Equal(t, []model.InstanceID{"a", "b"}, idsOf(f.Fleet))
				time.Sleep(graceTime)
				require.Equal(t, []model.InstanceID{"b"}, idsOf(f.Fleet))
				want := 1
				if noticed > 0 {
					want = 2
				}
				require.Len(t, logs.FilterMessage("store_restored").All(), want)
			})
		})
	}
}

// An old proxy passes on the store's responses without the era. Guards against a daemon that goes back to era 0 by
// them, takes changes from them or counts them as proof that its view is current, that fills the log, or that does not
// recover; and against one that follows nothing if no response has ever named an era.
func TestResponsesWithoutTheEra(t *testing.T) {
	followLogged(t, noPeers{}, func(store *meshtest.Store, f *mesh.Follower, logs *observer.ObservedLogs) {
		store.HideEra(true)
		store.SetTable(meshtest.Table(1, "back"))
		copied := store.Copy()
		store.Put(at("a", "10.0.0.1:1"))
		time.Sleep(inForce)
		require.Equal(t, []model.InstanceID{"a"}, idsOf(f.Fleet))
		require.Empty(t, logs.FilterMessage("store_response_ignored").All())

		store.HideEra(false)
		store.Restore(copied)
		time.Sleep(inForce)
		known := f.Fleet.Revision()
		require.Equal(t, catalog.Position(1, store.Revision()), known)
		store.HideEra(true)
		for range 10 {
			store.Put(at("b", "10.0.0.2:1"))
			time.Sleep(time.Second)
		}
		require.Equal(t, known, f.Fleet.Revision())
		require.NotContains(t, idsOf(f.Fleet), model.InstanceID("b"))
		require.False(t, f.Fresh())
		lines := logs.FilterMessage("store_response_ignored").All()
		require.Len(t, lines, 1)
		require.Equal(t, uint64(0), lines[0].ContextMap()["response_era"])
		require.Equal(t, uint64(1), lines[0].ContextMap()["known_era"])
		store.HideEra(false)
		time.Sleep(inForce)
		require.Contains(t, idsOf(f.Fleet), model.InstanceID("b"))
		require.True(t, f.Fresh())
	})
}

// All responses of the store pass an old proxy on their way to this daemon, before and after a restore that others have
// noticed. Guards against a daemon that stays in the earlier era and counts as current, since the store responds.
func TestDaemonBehindAnOldProxyTakesTheStateOfOthers(t *testing.T) {
	inst := at("b", "10.0.0.2:1")
	peers := statePeers{catalog.State{
		Revision: catalog.Position(1, 3), Table: meshtest.Table(3, "back"), Entries: []catalog.Entry{{ID: "b", Instance: &inst, Revision: catalog.Position(1, 3)}},
		Restore: &catalog.Restore{Position: catalog.Position(1, 2)},
	}}
	followLogged(t, laterPeers{peers, 1}, func(store *meshtest.Store, f *mesh.Follower, logs *observer.ObservedLogs) {
		store.HideEra(true)
		store.SetTable(meshtest.Table(1, "back"))
		copied := store.Copy()
		for range 5 {
			store.Put(at("a", "10.0.0.1:1"))
		}
		time.Sleep(inForce)
		store.Restore(copied)
		time.Sleep(inForce)
		require.Equal(t, []model.InstanceID{"a"}, idsOf(f.Fleet))
		f.Fleet.ObserveRevision(time.Now(), catalog.Position(1, 3))
		time.Sleep(inForce)
		require.Equal(t, catalog.Position(1, 3), f.Fleet.Revision())
		require.Equal(t, uint64(3), version(f.Fleet))
		require.Len(t, logs.FilterMessage("store_response_ignored").All(), 1)
		time.Sleep(inForce)
		require.False(t, f.Fresh(), "the store's responses prove nothing")
	})
}

// laterPeers respond only to a daemon that has a state already.
type laterPeers struct {
	statePeers
	least uint64
}

func (p laterPeers) AskState(ctx context.Context, newer uint64) (mesh.PeerState, error) {
	if newer < p.least {
		return mesh.PeerState{}, mesh.ErrNoNewerState
	}
	return p.statePeers.AskState(ctx, newer)
}

// Guards against a daemon that starts during a restore and stays with the state of another daemon which has not seen
// it, whose revision is higher than that of the store.
func TestStartsFromANeighbourOfThePreviousEra(t *testing.T) {
	inst := at("a", "10.0.0.1:1")
	peers := statePeers{catalog.State{
		Revision: 500, Table: meshtest.Table(7, "back"), Entries: []catalog.Entry{{ID: "a", Instance: &inst, Revision: 500}},
	}}
	followLogged(t, peers, func(store *meshtest.Store, f *mesh.Follower, _ *observer.ObservedLogs) {
		store.SetTable(meshtest.Table(6, "back"))
		store.Restore(store.Copy())
		store.SetListTime(300 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, uint64(500), f.Fleet.Revision())
		store.Put(at("b", "10.0.0.2:1"))
		time.Sleep(inForce)
		require.Equal(t, catalog.Position(1, store.Revision()), f.Fleet.Revision())
		require.Equal(t, []model.InstanceID{"a", "b"}, idsOf(f.Fleet))
		require.Equal(t, uint64(7), version(f.Fleet))
		time.Sleep(graceTime)
		require.Equal(t, []model.InstanceID{"b"}, idsOf(f.Fleet))
	})
}

// One daemon has seen the restore, and this one waits on a watch whose connection is silent. Guards against comparing
// revisions without their eras: that of the other daemon is lower.
func TestLaterEraOfAnotherDaemonEndsASilentWatch(t *testing.T) {
	followLogged(t, noPeers{}, func(store *meshtest.Store, f *mesh.Follower, _ *observer.ObservedLogs) {
		store.SetTable(meshtest.Table(1, "back"))
		copied := store.Copy()
		for range 5 {
			store.Put(at("a", "10.0.0.1:1"))
		}
		time.Sleep(inForce)
		store.SetSilent(true)
		store.Put(at("cut", "10.0.0.2:1")) // ends the current watch, so that the next one is silent
		time.Sleep(inForce)
		store.Restore(copied)
		store.SetTable(meshtest.Table(2, "back"))
		store.SetSilent(false)
		require.Less(t, store.Revision(), f.Fleet.Revision())
		for range 10 {
			f.Fleet.ObserveRevision(time.Now(), catalog.Position(1, store.Revision()))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, uint64(2), version(f.Fleet))
		require.Zero(t, f.Fleet.Lag(time.Now()))
	})
}

// Guards against a fleet of daemons, fed by readers and with requests between them, of which some do not follow the
// store after a restore or lose what they knew: tables, leaving and removed instances, instances and evacuations that
// are younger than the copy.
func TestFleetAfterARestore(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a1", "a1", "a2", "a1", "b1", "b1", "b1")
	copied := fleet.Store.Copy()
	leaving, removed := backs[0], backs[1]
	gone := leaving.Instance
	gone.State = model.Leaving
	fleet.Store.Put(gone)
	fleet.Store.Remove(removed.Instance.ID)
	known := fleet.Members // the next one starts later, and does not know what was removed
	young, err := fleet.Add("back", "a2", 4, 0)
	require.NoError(t, err)
	fleet.Store.SetTable(meshtest.Table(2, "back"))
	awaitSynced(t, fleet)

	fleet.Store.SetDown(true)
	fleet.Store.Restore(copied)
	fleet.Store.SetDown(false)
	for _, m := range fleet.Members {
		eventually(t, "the daemon has seen the new era", func() bool { return m.Daemon.Status().Era == 1 })
	}
	check := func(version uint64) {
		for _, m := range fleet.Members {
			view := m.Daemon.View()
			require.Equal(t, version, view.Table.Version)
			inst, ok := view.ByID(leaving.Instance.ID)
			require.True(t, ok)
			require.Equal(t, model.Leaving, inst.State)
		}
		for _, m := range known {
			_, ok := m.Daemon.View().ByID(removed.Instance.ID)
			require.False(t, ok, "it was removed, and has not registered again")
		}
	}
	check(2)
	fleet.Store.Put(young.Instance)
	for _, m := range fleet.Members {
		if m != removed {
			fleet.Store.Put(m.Instance)
		}
	}
	fleet.Store.Put(gone)
	fleet.Store.Evacuate("b2")
	fleet.Store.SetTable(meshtest.Table(3, "back"))
	for _, m := range fleet.Members {
		eventually(t, "the daemon follows the store", func() bool {
			v := m.Daemon.View()
			inst, ok := v.ByID(young.Instance.ID)
			return v.Table.Version == 3 && v.IsEvacuated("b2") && ok && inst.LapsesAt.IsZero()
		})
	}
	check(3)
	fleet.Store.Put(removed.Instance)
	for _, m := range fleet.Members {
		eventually(t, "the daemon uses the instance that has registered again", func() bool {
			_, ok := m.Daemon.View().ByID(removed.Instance.ID)
			return ok
		})
	}
	for range 20 {
		_, got := send(ingress, "POST", "/write/x", "a body")
		require.Equal(t, 200, got.status, got.body)
	}
}
