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
