package mesh_test

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// inForce is the time within which a change must be in force.
const inForce = 2 * time.Second

// recoveryTime is the time after which a daemon that was isolated must keep these bounds again.
const recoveryTime = 3 * time.Second

type noPeers struct{}

func (noPeers) AskState(context.Context, uint64) (mesh.PeerState, error) {
	return mesh.PeerState{}, errors.New("no other daemon is known")
}

func (noPeers) Introduce([]string) {}

func (noPeers) AnnounceState(context.Context) {}

// follow runs a follower in virtual time.
func follow(t *testing.T, peers mesh.Peers, test func(store *meshtest.Store, fleet *mesh.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		store := meshtest.NewStore()
		fleet := mesh.NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
		f := &mesh.Follower{Store: store, Fleet: fleet, Peers: peers, Log: zap.NewNop()}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		test(store, fleet)
		cancel()
		<-done
	})
}

func instance(id string) catalog.Instance {
	inst := catalog.Instance{Upstream: "10.0.0.1:1", Slots: 9}
	inst.ID, inst.Service = model.InstanceID(id), "back"
	return inst
}

func version(f *mesh.Fleet) uint64 {
	if table := f.View().Table; table != nil {
		return table.Version
	}
	return 0
}

// Guards against changes that are not in force in time, and against one call to the store for each
// of many changes in a row.
func TestFollowsChanges(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		time.Sleep(inForce)
		_, before := store.Calls()
		for v := uint64(1); v <= 25; v++ {
			store.SetTable(meshtest.Table(v, "back"))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(inForce)
		require.Equal(t, uint64(25), version(fleet))
		_, after := store.Calls()
		require.Less(t, after-before, 10)
		// About one watch per second shows that the connection to the store is alive.
		time.Sleep(time.Minute)
		_, idle := store.Calls()
		require.Less(t, idle-after, 66, "calls of an idle minute")
	})
}

// Guards against a daemon that remains out of date after an outage of the store, and against a
// burst of calls during the outage.
func TestOutageOfTheStore(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		store.Put(instance("a"))
		time.Sleep(inForce)
		store.SetDown(true)
		_, before := store.Calls()
		time.Sleep(time.Minute)
		_, after := store.Calls()
		require.Less(t, after-before, 150)
		require.Equal(t, uint64(1), version(fleet))
		require.Len(t, fleet.View().Instances, 1, "the last list is kept during the outage")
		store.SetTable(meshtest.Table(2, "back"))
		store.SetDown(false)
		time.Sleep(inForce)
		require.Equal(t, uint64(2), version(fleet))
	})
}

// Guards against dropping live instances whose entries expired during an outage of the store, and
// against keeping those that do not return.
func TestEntriesThatExpiredDuringAnOutage(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		store.Put(instance("a"))
		store.Put(instance("b"))
		time.Sleep(inForce)
		store.SetDown(true)
		time.Sleep(5 * time.Second)
		store.Remove("a")
		store.Remove("b")
		store.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		require.Len(t, fleet.View().Instances, 2)
		store.Put(instance("b"))
		// No event ends the grace period here. In the daemon, periodic housekeeping does.
		time.Sleep(2 * time.Second)
		fleet.Expire(time.Now())
		require.Len(t, fleet.View().Instances, 1)
		require.Equal(t, model.InstanceID("b"), fleet.View().Instances[0].ID)
	})
}

// Guards against sending work to an instance that leaves right after the return of the store.
func TestInstanceThatLeavesAfterAnOutageLeavesAtOnce(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		store.Put(instance("a"))
		store.Put(instance("b"))
		time.Sleep(inForce)
		store.SetDown(true)
		time.Sleep(5 * time.Second)
		store.SetDown(false)
		time.Sleep(1300 * time.Millisecond) // the store has been read again
		store.Remove("a")
		time.Sleep(600 * time.Millisecond)
		require.Len(t, fleet.View().Instances, 1)
	})
}

// Guards against a reader that reports itself as current although its connection to the store is
// silent: the daemons that it feeds would miss changes.
func TestSilentStoreIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := meshtest.NewStore()
		fleet := mesh.NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
		f := &mesh.Follower{Store: store, Fleet: fleet, Peers: noPeers{}, Log: zap.NewNop(), Seed: true}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		store.SetTable(meshtest.Table(1, "back"))
		time.Sleep(10 * time.Second)
		require.True(t, f.Fresh())
		store.SetSilent(true)
		store.Put(instance("cut"))
		// The daemons that it feeds need the rest of the time to find another reader.
		time.Sleep(inForce - 400*time.Millisecond)
		require.False(t, f.Fresh())
		store.SetSilent(false)
		time.Sleep(inForce)
		require.True(t, f.Fresh())
		cancel()
		<-done
	})
}

// An outage ends during a burst of changes. Guards against a watch that transfers every table in
// between over a narrow link although the last one suffices.
func TestStormAfterAnOutageIsReadAtOnce(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		time.Sleep(inForce)
		for v := uint64(2); v < 6; v++ {
			store.SetTable(meshtest.Table(v, "back"))
			time.Sleep(300 * time.Millisecond)
		}
		store.SetDown(true)
		time.Sleep(time.Second)
		for v := uint64(6); v < 30; v++ {
			store.SetTable(meshtest.Table(v, "back"))
		}
		store.SetTransfer(5 * time.Second) // duration of a response to a watch
		store.SetDown(false)
		time.Sleep(inForce)
		require.Equal(t, uint64(29), version(fleet))
	})
}

// Guards against missed changes after the store has dropped its history.
func TestHistoryGone(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		store.Put(instance("a"))
		store.Put(instance("b"))
		time.Sleep(inForce)
		store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		store.Remove("a")
		store.Forget()
		store.SetDown(false)
		time.Sleep(inForce)
		require.Len(t, fleet.View().Instances, 1)
		lists, _ := store.Calls()
		require.Equal(t, 2, lists)
	})
}

// Guards against waiting on a watch whose connection is silent although the revisions of other
// daemons show that it has missed changes.
func TestSilentWatchIsFoundByOtherDaemons(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		time.Sleep(inForce)
		store.SetSilent(true)
		store.Put(instance("cut")) // ends the current watch, so that the next one is silent
		time.Sleep(inForce)
		store.SetSilent(false)
		store.SetTable(meshtest.Table(2, "back"))
		require.Equal(t, uint64(1), version(fleet))
		for range 20 { // revisions reported by other daemons
			fleet.ObserveRevision(time.Now(), store.Revision())
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, uint64(2), version(fleet))
	})
}

// The response that carries a change takes longer to arrive here than at other daemons. Guards
// against requesting it again and again, which would leave the daemon out of date for good.
func TestLargeAnswerIsNotCutShort(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		time.Sleep(inForce)
		store.SetTransfer(1500 * time.Millisecond)
		store.SetTable(meshtest.Table(2, "back"))
		_, before := store.Calls()
		for range 15 {
			fleet.ObserveRevision(time.Now(), store.Revision())
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, uint64(2), version(fleet))
		_, after := store.Calls()
		require.LessOrEqual(t, after-before, 2, "one watch for the change and the next one")
	})
}

// Guards against acting on an outdated view after the process was paused.
func TestWakeUpReadsAgain(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		time.Sleep(inForce)
		store.SetSilent(true)
		store.Put(instance("cut"))
		time.Sleep(time.Second)
		store.SetSilent(false)
		store.SetTable(meshtest.Table(2, "back"))
		fleet.ProcessResumed()
		time.Sleep(recoveryTime)
		require.Equal(t, uint64(2), version(fleet))
	})
}

// statePeers answers every request with the same state.
type statePeers struct{ state catalog.State }

func (p statePeers) AskState(_ context.Context, newer uint64) (mesh.PeerState, error) {
	if p.state.Revision <= newer {
		return mesh.PeerState{}, errors.New("nothing newer is known")
	}
	return mesh.PeerState{State: p.state, Source: "10.0.0.2:1"}, nil
}

func (statePeers) Introduce([]string) {}

func (statePeers) AnnounceState(context.Context) {}

// Many daemons start at once, and reading the store takes seconds over a saturated link. Guards
// against a daemon that is not ready although a neighbour has the state.
func TestStartsFromANeighbourWhileTheStoreIsSlow(t *testing.T) {
	inst := instance("a")
	peers := statePeers{catalog.State{
		Revision: 50, Table: meshtest.Table(7, "back"), Entries: []catalog.Entry{{ID: "a", Instance: &inst, Revision: 50}},
	}}
	follow(t, peers, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetListTime(10 * time.Second)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, uint64(7), version(fleet))
	})
}

// outdatedPeers answers with the state of a daemon that has lost the store, then with a current one.
type outdatedPeers struct {
	statePeers
	asked *atomic.Int64
}

func (p outdatedPeers) AskState(ctx context.Context, newer uint64) (mesh.PeerState, error) {
	current, err := p.statePeers.AskState(ctx, newer)
	if p.asked.Add(1) > 4 || err != nil {
		return current, err
	}
	old := instance("left")
	return mesh.PeerState{Source: "10.0.0.3:1", Age: time.Minute, State: catalog.State{
		Revision: newer + 1, Table: meshtest.Table(6, "back"), Entries: []catalog.Entry{{ID: "left", Instance: &old, Revision: 1}},
	}}, nil
}

// Guards against a restarted daemon that uses an instance which has left, because the first neighbour
// that it asks has lost the store and still lists that instance.
func TestStartsFromACurrentNeighbour(t *testing.T) {
	inst := instance("a")
	peers := outdatedPeers{statePeers{catalog.State{
		Revision: 50, Table: meshtest.Table(7, "back"), Entries: []catalog.Entry{{ID: "a", Instance: &inst, Revision: 50}},
	}}, &atomic.Int64{}}
	follow(t, peers, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetListTime(10 * time.Second)
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			_, listed := fleet.View().ByID("left")
			require.False(t, listed)
		}
		require.Equal(t, uint64(7), version(fleet))
	})
}

// Guards against a daemon that does not start because all neighbours have lost the store.
func TestStartsFromAnOutdatedNeighbourIfThereIsNoOther(t *testing.T) {
	peers := outdatedPeers{statePeers{catalog.State{Revision: 50}}, &atomic.Int64{}}
	peers.asked.Store(math.MinInt32)
	follow(t, peers, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetListTime(10 * time.Second)
		time.Sleep(time.Second)
		require.Equal(t, uint64(6), version(fleet))
	})
}

// Guards against a daemon that waits for the store although others have a newer state, and against
// one that older responses of the store set back to an earlier version.
func TestAppliesTheStateOfOtherDaemonsDuringAnOutage(t *testing.T) {
	inst := instance("a")
	peers := statePeers{catalog.State{
		Revision: 50, Table: meshtest.Table(7, "back"), Entries: []catalog.Entry{{ID: "a", Instance: &inst, Revision: 50}},
	}}
	follow(t, peers, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetDown(true)
		time.Sleep(inForce)
		require.Equal(t, uint64(7), version(fleet))
		require.Len(t, fleet.View().Instances, 1)
		store.SetTable(meshtest.Table(3, "back"))
		store.SetDown(false)
		time.Sleep(inForce)
		require.Equal(t, uint64(7), version(fleet))
	})
}
