package membership

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/model"
)

var start = time.Unix(1e9, 0)

func instances(n int) []model.Instance {
	list := make([]model.Instance, n)
	for i := range list {
		list[i] = model.Instance{
			ID: model.InstanceID(fmt.Sprintf("instance-%06d", i)), Service: fmt.Sprintf("service-%d", i%530),
			Place:       model.Place{Region: fmt.Sprintf("region-%d", i%10), DataCentre: fmt.Sprintf("dc-%d", i%39)},
			ControlAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), ForwardAddr: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		}
	}
	return list
}

// Guards against a list that is accepted although it is older, has other contents at the
// same revision or contains an instance twice, and against a removed instance that stays.
func TestListRules(t *testing.T) {
	table := New()
	_, err := table.SetList(5, instances(10))
	require.NoError(t, err)
	var stale *StaleListError
	_, err = table.SetList(4, instances(3))
	require.True(t, errors.As(err, &stale))
	var conflict *ConflictError
	_, err = table.SetList(5, instances(3))
	require.True(t, errors.As(err, &conflict))
	var duplicate *DuplicateError
	_, err = table.SetList(6, append(instances(3), instances(1)...))
	require.True(t, errors.As(err, &duplicate))
	require.Len(t, table.View().Instances, 10)
	delta, err := table.SetList(6, instances(9))
	require.NoError(t, err)
	require.Equal(t, []model.InstanceID{"instance-000009"}, delta.Removed)
	require.Equal(t, View{Revision: 6, Instances: instances(9)}, table.View())
}

// Guards against a result that depends on the order in which the announcements and the list
// arrive. The highest incarnation must win, and leaving supersedes live of the same one.
func TestAnnouncementsMergeInAnyOrder(t *testing.T) {
	id := instances(1)[0].ID
	all := []Announcement{{id, 1, model.Live}, {id, 1, model.Leaving}, {id, 2, model.Live}, {id, 2, model.Leaving}, {id, 3, model.Live}}
	for offset := range all {
		for listing := range all {
			table := New()
			for i := range all {
				if i == listing {
					_, err := table.SetList(1, instances(1))
					require.NoError(t, err)
				}
				table.Announce(all[(i+offset)%len(all)], start)
			}
			got := table.View().Instances[0]
			require.Equal(t, uint64(3), got.Incarnation)
			require.Equal(t, model.Live, got.State)
		}
	}
}

// Guards against deltas that lead to another view or hash than the full list, and against a
// delta that is applied to a revision that it does not start at.
func TestDeltasLeadToTheList(t *testing.T) {
	reader, follower := New(), New()
	lists := [][]model.Instance{instances(20), instances(15), instances(30)}
	for i, list := range lists {
		delta, err := reader.SetList(uint64(i+1), list)
		require.NoError(t, err)
		changed, err := follower.ApplyDelta(delta)
		require.NoError(t, err)
		require.True(t, changed)
		require.Equal(t, reader.View(), follower.View())
		require.Equal(t, reader.Hash(), follower.Hash())
	}
	var gap *GapError
	_, err := follower.ApplyDelta(ListDelta{From: 2, To: 9})
	require.True(t, errors.As(err, &gap))
	changed, err := follower.ApplyDelta(ListDelta{From: 1, To: 3, Removed: []model.InstanceID{"instance-000000"}})
	require.NoError(t, err)
	require.False(t, changed)
}

// Guards against tables that still differ, in their lists or their announcements, after they
// have exchanged the differing buckets, and against a repair that exchanges many more.
func TestRepairMakesTablesEqual(t *testing.T) {
	parent, child := New(), New()
	_, err := parent.SetList(9, instances(3000))
	require.NoError(t, err)
	_, err = child.SetList(7, instances(2990))
	require.NoError(t, err)
	child.Announce(Announcement{ID: "instance-000001", Incarnation: 4, State: model.Leaving}, start)
	parent.Announce(Announcement{ID: "instance-000002", Incarnation: 5}, start)
	buckets := parent.Differing(child.BucketHashes())
	require.LessOrEqual(t, len(buckets), 12)
	_, missing, changed := child.Repair(parent.Revision(), buckets, start)
	require.True(t, changed)
	for _, a := range missing {
		parent.Announce(a, start)
	}
	require.Equal(t, parent.View(), child.View())
	require.Equal(t, parent.Hash(), child.Hash())
	_, _, changed = child.Repair(6, New().Differing(child.BucketHashes()), start)
	require.False(t, changed, "an older list must not be merged")
}

// Guards against unbounded memory for announcements of instances that are never listed.
func TestPendingAnnouncementsAreBounded(t *testing.T) {
	table := New()
	for i := range 3 * MaxPending {
		table.Announce(Announcement{ID: model.InstanceID(fmt.Sprint(i)), Incarnation: 1}, start)
	}
	require.LessOrEqual(t, len(table.pending), MaxPending)
	require.True(t, table.Announce(Announcement{ID: "late", Incarnation: 1}, start.Add(time.Hour)))
}

// BenchmarkTable reports the memory and the build time of a table per instance.
func BenchmarkTable(b *testing.B) {
	const n = 19000
	var before, after runtime.MemStats
	list := instances(n)
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := New()
	for b.Loop() {
		table = New()
		if _, err := table.SetList(1, list); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/endpoint")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/endpoint")
	runtime.KeepAlive(table)
	runtime.KeepAlive(list)
}

// BenchmarkAnnounceAndView reports the cost of one announcement with a new view.
func BenchmarkAnnounceAndView(b *testing.B) {
	table := New()
	if _, err := table.SetList(1, instances(19000)); err != nil {
		b.Fatal(err)
	}
	incarnation := uint64(0)
	for b.Loop() {
		incarnation++
		table.Announce(Announcement{ID: "instance-000777", Incarnation: incarnation}, start)
		table.View()
	}
}
