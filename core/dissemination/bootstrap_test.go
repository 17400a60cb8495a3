package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/model"
)

// Guards the paid link after a large failure: a daemon that comes back and has a version
// from a neighbour connects to no other region and reads no store because another
// neighbour is dead.
func TestDeadSeedCostsNoPaidLink(t *testing.T) {
	f := newFleet(t, 6)
	f.startAll()
	member := f.role(func(c *Core) bool { return c.plan.Level > 0 && c.self.ID > "penang-0-1" })
	f.kill("penang-0-0")
	f.kill(member)
	f.run(10 * time.Second)
	reads := f.reads
	f.start(member)
	for range 30 {
		f.run(100 * time.Millisecond)
		for peer := range f.nodes[member].links {
			require.NotEqual(t, model.CrossRegion, f.nodes[member].instance.Place.DistanceTo(f.nodes[peer].instance.Place), "link to %s", peer)
		}
	}
	require.True(t, f.nodes[member].ready)
	require.Equal(t, reads, f.reads)
}

// Guards the paid link when a mass return keeps all processors busy: a daemon waits for
// an answer of its region that is under way before it asks other regions, and not for
// longer than the bounded wait.
func TestSlowRegionCostsNoPaidLink(t *testing.T) {
	for _, slow := range []struct {
		pause   time.Duration
		crosses bool
	}{{900 * time.Millisecond, false}, {5 * time.Second, true}} {
		f := newFleet(t, 6)
		f.startAll()
		member := f.role(func(c *Core) bool { return c.plan.Level > 0 && c.self.ID > "penang-0-1" && c.self.ID < "penang-1" })
		for _, dead := range []model.InstanceID{"penang-0-0", "penang-0-1", member} {
			f.kill(dead)
		}
		f.run(10 * time.Second)
		f.start(member)
		n := f.nodes[member]
		f.runUntil(time.Second, func() bool { return len(n.links) == 2 })
		for peer := range n.links {
			f.nodes[peer].pausedUntil = f.now.Add(slow.pause)
		}
		crossed := false
		f.runUntil(4*time.Second, func() bool {
			for peer := range n.links {
				crossed = crossed || n.instance.Place.DistanceTo(f.nodes[peer].instance.Place) == model.CrossRegion
			}
			return crossed
		})
		require.Equal(t, slow.crosses, crossed, "pause of %v", slow.pause)
	}
}
