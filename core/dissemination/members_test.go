package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/model"
)

// Guards the membership: list changes and announcements reach every daemon, a view is
// complete for its revision, and an older list changes nothing.
func TestMembershipReachesEveryDaemon(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	gone, leaving := f.ids[5], f.ids[15]
	f.kill(gone)
	f.list(gone)
	f.deliver(f.nodes[leaving], Leave{})
	f.run(2 * time.Second)
	check := func() {
		for _, id := range f.ids {
			n := f.nodes[id]
			if !n.alive {
				continue
			}
			require.Equal(t, f.revision, n.view.Revision, "%s", id)
			require.Len(t, n.view.Instances, len(f.listed), "%s", id)
			for _, i := range n.view.Instances {
				require.Equal(t, i.ID == leaving, i.State == model.Leaving, "%s about %s", id, i.ID)
				require.Equal(t, f.nodes[i.ID].instance.Incarnation, i.Incarnation, "%s about %s", id, i.ID)
			}
		}
	}
	check()
	f.revision--
	f.listed = f.listed[:3]
	f.notify()
	f.run(10 * time.Second)
	require.True(t, f.hasRecord(RecordStaleList))
	f.revision++
	f.listed = f.nodes[f.ids[0]].view.Instances
	check()
}

// Guards published messages: each other daemon gets them once, within the byte budget.
func TestPublishReachesEveryDaemonOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.startAll()
	f.deliver(f.nodes[f.ids[17]], Publish{Topic: "quarantine", Data: []byte("report")})
	f.run(time.Second)
	for _, id := range f.ids {
		want := 1
		if id == f.ids[17] {
			want = 0
		}
		require.Len(t, f.nodes[id].delivered, want, "%s", id)
	}
	f.kill(f.ids[3])
	f.run(10 * time.Second)
	f.nodes[f.ids[3]].delivered = nil
	f.start(f.ids[3])
	f.run(5 * time.Second)
	require.Len(t, f.nodes[f.ids[3]].delivered, 1, "a restarted daemon")
	f.bytes = map[model.Distance]int{}
	for range 1000 {
		f.deliver(f.nodes[f.ids[17]], Publish{Topic: "quarantine", Data: make([]byte, MaxPublish)})
	}
	f.run(10 * time.Second)
	total := f.bytes[model.SameDataCentre] + f.bytes[model.SameRegion] + f.bytes[model.CrossRegion]
	require.Less(t, total, len(f.ids)*(floodBurst+10*floodRate+8*MaxPublish))
}
