package dissemination

import (
	"crypto/ed25519"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

// Guards the convergence time with all daemons alive, and that one frame per remote
// region crosses the paid link for a change.
func TestConvergesWithAllAlive(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	for v := model.Version(2); v < 12; v++ {
		f.frames = map[model.Distance]int{}
		f.publish(v)
		took := f.runUntil(time.Second, f.converged(v))
		f.requireConverged(v)
		require.Less(t, took, 100*time.Millisecond)
		f.run(150 * time.Millisecond)
		require.Equal(t, 1, f.frames[model.CrossRegion], "version %d", v)
		if v == 2 {
			t.Logf("converged in %v; frames %v, bytes %v", took, f.frames, f.bytes)
		}
		f.run(50 * time.Millisecond)
	}
}

// Guards convergence within 2 s when a daemon dies in the middle of a change.
func TestConvergesWhenOneDies(t *testing.T) {
	t.Parallel()
	inStore := func(c *Core) bool { return c.self.Place.Region == storeRegion }
	cases := map[string]func(c *Core) bool{
		"primary reader": func(c *Core) bool { return c.plan.ReaderRank == 0 },
		"second reader":  func(c *Core) bool { return c.plan.ReaderRank == 1 },
		"third reader":   func(c *Core) bool { return c.plan.ReaderRank == 2 },
		"entry":          func(c *Core) bool { return c.plan.IsEntry() && !inStore(c) },
		"spare entry":    func(c *Core) bool { return c.plan.IsSpareEntry() && !inStore(c) },
		"relay":          func(c *Core) bool { return c.plan.Relay == c.self.ID && !c.plan.IsEntry() && !inStore(c) },
		"spare relay":    func(c *Core) bool { return c.plan.SpareRelay == c.self.ID && !inStore(c) },
		"leaf":           func(c *Core) bool { return c.plan.Level == 1 && !inStore(c) },
	}
	for name, predicate := range cases {
		for _, after := range []time.Duration{0, 3 * time.Millisecond, 25 * time.Millisecond, 31 * time.Millisecond} {
			t.Run(name+"/"+after.String(), func(t *testing.T) {
				f := newFleet(t, 6)
				f.startAll()
				f.publish(2)
				f.run(after)
				f.kill(f.role(predicate))
				took := f.runUntil(5*time.Second, f.converged(2))
				f.requireConverged(2)
				require.Less(t, took, 2*time.Second)
				t.Logf("%v", took)
				f.publish(3)
				require.Less(t, f.runUntil(5*time.Second, f.converged(3)), 2*time.Second, "the change after the death")
			})
		}
	}
}

func primaryReader(c *Core) bool { return c.plan.ReaderRank == 0 }

func remoteEntry(c *Core) bool { return c.plan.IsEntry() && c.self.Place.Region == remoteRegion }

// Guards I1 and I9 when the store serves what must change nothing: an older manifest,
// other contents of the version in effect, or a version that breaks a rule. The next
// good version takes effect everywhere.
func TestStoreServesWhatMustNotBeApplied(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		put  func(t *testing.T) (snapshot.Manifest, [][]byte)
		kind RecordKind
	}{
		{"rolled back", func(t *testing.T) (snapshot.Manifest, [][]byte) { _, m, s := build(t, 3, 0, nil); return m, s }, RecordStale},
		{"other contents", func(t *testing.T) (snapshot.Manifest, [][]byte) { _, m, s := build(t, 5, 9, nil); return m, s }, RecordConflict},
		{"wrong digest", func(t *testing.T) (snapshot.Manifest, [][]byte) {
			_, m, s := build(t, 6, 0, nil)
			m.TableDigest[3]++
			return m, s
		}, RecordRejected},
		{"huge bad version", func(t *testing.T) (snapshot.Manifest, [][]byte) {
			_, m, s := build(t, 1<<62, 0, nil)
			m.TableDigest[3]++
			return m, s
		}, RecordRejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.startAll()
			f.publish(5)
			f.run(time.Second)
			f.requireConverged(5)
			f.put(c.put(t))
			f.run(time.Second)
			reads := f.reads
			f.notify()
			f.run(10 * time.Second)
			require.Equal(t, reads, f.reads, "a known version is fetched again")
			f.requireConverged(5)
			require.True(t, f.hasRecord(c.kind))
			f.publish(7)
			f.run(time.Second)
			f.requireConverged(7)
		})
	}
}

// Guards the signed mode: nothing unsigned is applied, and a huge unsigned version
// number in the store, in adverts and in beacons does not keep real versions waiting.
func TestUnsignedVersionsBlockNothing(t *testing.T) {
	t.Parallel()
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	signer, err := snapshot.NewSigner(key)
	require.NoError(t, err)
	f := newFleet(t, 3)
	f.signer = signer
	f.verifier, err = snapshot.NewVerifier(signer.PublicKey())
	require.NoError(t, err)
	f.startAll()
	huge := mark{Version: 1 << 62, Prefix: model.DigestPrefix{1}}
	lie := func() {
		for _, id := range f.ids {
			for _, peer := range f.ids {
				if _, ok := f.nodes[id].links[peer]; ok {
					f.deliver(f.nodes[id], Frame{Peer: peer, Data: encode(advert{Held: huge})})
					f.deliver(f.nodes[id], Frame{Peer: peer, Data: encode(beacon{Held: huge})})
				}
			}
		}
	}
	_, m, segments := build(t, 1<<62, 0, nil)
	f.put(m, segments)
	lie()
	f.run(100 * time.Millisecond)
	lie()
	f.publish(2)
	require.Less(t, f.runUntil(5*time.Second, f.converged(2)), 100*time.Millisecond)
	f.requireConverged(2)
	lie()
	f.publish(3)
	f.kill(f.role(primaryReader))
	require.Less(t, f.runUntil(5*time.Second, f.converged(3)), 2*time.Second)
	f.requireConverged(3)
}

// Guards the end of a partition of an hour: convergence within 5 s without a burst of
// messages, and almost no traffic on the paid link during the partition.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	f.partition(true)
	for v := model.Version(2); v <= 40; v++ {
		f.publish(v)
		f.run(90 * time.Second)
	}
	require.False(t, f.converged(40)())
	f.partition(false)
	f.frames, f.bytes = map[model.Distance]int{}, map[model.Distance]int{}
	took := f.runUntil(20*time.Second, f.converged(40))
	f.requireConverged(40)
	require.Less(t, took, 5*time.Second)
	require.Less(t, f.frames[model.CrossRegion], 40)
	t.Logf("healed in %v; frames %v bytes %v", took, f.frames, f.bytes)
}

// Guards the end of partitions that are shorter than the paid link's beacon interval.
func TestShortPartitionHeals(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{4 * time.Second, 10 * time.Second, 20 * time.Second, 34 * time.Second, 60 * time.Second} {
		f := newFleet(t, 6)
		f.startAll()
		f.run(time.Minute)
		f.partition(true)
		f.publish(2)
		f.run(length)
		f.partition(false)
		require.Less(t, f.runUntil(time.Minute, f.converged(2)), 5*time.Second, "%s", length)
		f.requireConverged(2)
	}
}

// Guards a paused reader: it wakes with an old view, changes nothing elsewhere, refuses
// work until it has checked, and catches up.
func TestPausedReaderWakes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.startAll()
	reader := f.nodes[f.role(primaryReader)]
	reader.pausedUntil = f.now.Add(4 * time.Second)
	f.publish(2)
	require.Less(t, f.runUntil(3*time.Second, func() bool {
		for _, id := range f.ids {
			if n := f.nodes[id]; n != reader && n.applied.Version() != 2 {
				return false
			}
		}
		return true
	}), 2*time.Second)
	sawStale := false
	f.runUntil(6*time.Second, func() bool { sawStale = sawStale || reader.stale && !reader.ready; return false })
	require.True(t, sawStale, "the pause was not noticed")
	require.True(t, reader.ready && !reader.stale)
	f.requireConverged(2)
}

// Guards a reconnect storm: half of the daemons die together and come back.
func TestHalfRestarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	for i, id := range f.ids {
		if i%2 == 0 {
			f.kill(id)
		}
	}
	f.publish(2)
	f.run(time.Second)
	f.frames, f.reads = map[model.Distance]int{}, 0
	for i, id := range f.ids {
		if i%2 == 0 {
			f.start(id)
		}
	}
	took := f.runUntil(14*time.Second, f.converged(2))
	f.requireConverged(2)
	f.run(10 * time.Second)
	for _, id := range f.ids {
		require.True(t, f.nodes[id].ready, "%s", id)
	}
	require.Less(t, f.reads, len(f.ids))
	t.Logf("converged in %v; frames %v, store reads %d", took, f.frames, f.reads)
}

// Guards a store outage of hours: the version stays in effect, its end causes no
// burst of reads, and the change published meanwhile converges in seconds.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	f.storeDown = true
	f.notify()
	f.run(2 * time.Hour)
	f.requireConverged(1)
	f.reads = 0
	f.storeDown = false
	f.publish(2)
	require.Less(t, f.runUntil(5*time.Second, f.converged(2)), time.Second)
	f.run(10 * time.Second)
	require.LessOrEqual(t, f.reads, 3, "store reads after the outage")
}

// Guards a newcomer whose store is stale: it must not take work with the old version
// that the store serves.
func TestNewcomerWithStaleStore(t *testing.T) {
	t.Parallel()
	for name, predicate := range map[string]func(*Core) bool{"reader": primaryReader, "remote entry": remoteEntry} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.startAll()
			for v := model.Version(2); v <= 9; v++ {
				f.publish(v)
				f.run(time.Second)
			}
			id := f.role(predicate)
			f.kill(id)
			f.run(10 * time.Second)
			_, m, segments := build(t, 3, 0, nil)
			f.put(m, segments)
			f.start(id)
			f.runUntil(5*time.Second, func() bool { return f.nodes[id].ready })
			require.True(t, f.nodes[id].ready)
			f.requireConverged(9)
		})
	}
}

// Guards updates that cross, repeat and arrive late at one daemon: whatever the order,
// versions rise and the highest one stays.
func TestFramesInAnyOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.startAll()
	var snapshots []*snapshot.Snapshot
	for v := model.Version(1); v <= 6; v++ {
		s, _, _ := build(t, v, 0, nil)
		snapshots = append(snapshots, s)
		f.good[v] = s.Digest()
	}
	d := func(from, to int) []byte {
		bytes, err := snapshot.MakeDelta(snapshots[from-1], snapshots[to-1])
		require.NoError(t, err)
		return encode(delta(bytes))
	}
	entry := f.nodes[f.role(remoteEntry)]
	parent := entry.core.eager.peer
	for _, frame := range [][]byte{d(1, 3), d(1, 2), d(2, 3), d(1, 3), d(3, 5), d(1, 6), d(3, 4), d(5, 6), d(1, 2)} {
		f.deliver(entry, Frame{Peer: parent, Data: frame})
	}
	require.Equal(t, model.Version(6), entry.applied.Version())
	f.run(20 * time.Second)
	require.Equal(t, model.Version(6), entry.applied.Version())
}

// Guards the loss of the store's region while the store itself goes on: the other
// regions read it within the budget until the list shows the loss, and then watch it.
func TestStoreRegionLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	var lost []model.InstanceID
	for _, id := range f.ids {
		if f.nodes[id].instance.Place.Region == storeRegion {
			lost = append(lost, id)
			f.kill(id)
		}
	}
	f.publish(2)
	// The entries notice the silence of the readers after a beacon interval of 30 s.
	require.Less(t, f.runUntil(2*time.Minute, f.converged(2)), time.Minute)
	f.requireConverged(2)
	f.list(lost...)
	f.run(30 * time.Second)
	f.publish(3)
	require.Less(t, f.runUntil(30*time.Second, f.converged(3)), time.Second)
	f.requireConverged(3)
}

// Guards a new daemon that the list does not show yet: it gets every version at once.
func TestUnlistedDaemonConverges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	id := f.ids[14]
	f.kill(id)
	f.list(id)
	f.run(10 * time.Second)
	f.start(id)
	f.run(3 * time.Second)
	require.True(t, f.nodes[id].ready)
	f.publish(2)
	require.Less(t, f.runUntil(5*time.Second, f.converged(2)), 100*time.Millisecond)
	f.requireConverged(2)
}

// Guards the store's budget: 19,000 daemons that fall back together make at most 200
// reads/s.
func TestFallbackBudget(t *testing.T) {
	t.Parallel()
	core := func(level int) *Core {
		c := New(Config{Self: model.Instance{ID: "a"}, FleetSize: 19000})
		c.plan.Self.ID, c.plan.Level = "a", level
		return c
	}
	rate := func(c *Core, n int) float64 {
		sum := time.Duration(0)
		for range 10000 {
			sum += c.fallbackDelay(minFallback)
		}
		return float64(n) * readsPerFallback * 10000 / sum.Seconds()
	}
	require.LessOrEqual(t, rate(core(1), 19000-78)+rate(core(0), 78), 200.0)
}

// Guards the idle cost: without changes the paid link carries a beacon now and then, no
// daemon reads the store and no parent changes.
func TestIdleCost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	f.run(time.Minute)
	parents := map[model.InstanceID]model.InstanceID{}
	for _, id := range f.ids {
		parents[id] = f.nodes[id].core.Status().Parent
	}
	f.frames, f.bytes, f.reads = map[model.Distance]int{}, map[model.Distance]int{}, 0
	f.run(time.Hour)
	for _, id := range f.ids {
		require.Equal(t, parents[id], f.nodes[id].core.Status().Parent)
		require.True(t, f.nodes[id].ready)
	}
	onPaid := float64(f.bytes[model.CrossRegion]+f.frames[model.CrossRegion]*(frameOverhead+ackBytes)) / 3600
	require.Less(t, onPaid, 10.0, "bytes per second")
	require.Zero(t, f.reads)
	t.Logf("paid link %.1f bytes/s, frames per hour %v", onPaid, f.frames)
}

// Guards a subscriber against a parent that accepts links and closes them: it must use
// its next candidate instead of dialling without end.
func TestFullParentIsLeft(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	id := f.role(func(c *Core) bool { return c.plan.Level == 1 && c.self.Place.Region == remoteRegion })
	c, now, dials := f.nodes[id].core, f.now, 0
	full, next := c.plan.Parents[0].ID, c.plan.Parents[1].ID
	c.Handle(now, LinkDown{Peer: full})
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		c.Handle(now, Frame{Peer: next, Data: encode(beacon{Held: c.heldMark(), Heartbeat: uint64(now.UnixMilli())})})
		for _, action := range c.Handle(now, Tick{}) {
			if dial, ok := action.(Dial); ok && dial.Instance.ID == full {
				dials++
				c.Handle(now, LinkUp{Peer: full})
				c.Handle(now, LinkDown{Peer: full, Err: errClosed})
			}
		}
	}
	require.Less(t, dials, 20)
	require.Equal(t, next, c.Status().Parent)
}

// Guards against two trees without a link: daemons that count all others as leaving and
// the restarted others must find each other.
func TestRestartedMajorityFindsTheRest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.startAll()
	stays := map[model.InstanceID]bool{"klang-0-2": true, "klang-1-2": true}
	for _, restart := range []bool{false, true} {
		for _, id := range f.ids {
			switch {
			case stays[id]:
			case restart:
				f.start(id)
			default:
				f.deliver(f.nodes[id], Leave{})
				f.run(time.Second)
				f.kill(id)
			}
		}
		f.run(12 * time.Second)
	}
	f.run(time.Minute)
	for _, id := range f.ids {
		require.Equal(t, f.nodes["klang-0-2"].view, f.nodes[id].view, "%s", id)
	}
}

// BenchmarkTick reports the cost of a tick, of which a daemon has 2.5 a second.
func BenchmarkTick(b *testing.B) {
	f := newFleet(b, 30)
	f.startAll()
	c, now := f.nodes[f.role(primaryReader)].core, f.now
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Handle(now, Tick{})
	}
	b.ReportMetric(float64(len(c.links)), "links")
}
