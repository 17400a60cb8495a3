package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"mangoshed.example/mangoshed/core/model"
)

// Buckets is the number of hash buckets that two tables compare to find their differences.
// With 19,000 instances a bucket holds 74 of them, and the hashes of all buckets fit in two
// packets.
const Buckets = 256

// Hash returns the order-independent hash of all listed instances with their states
// and incarnations.
func (t *Table) Hash() uint64 { return t.hash }

// BucketHashes returns the hash of each bucket.
func (t *Table) BucketHashes() []uint64 { return append([]uint64(nil), t.buckets[:]...) }

// Bucket holds the contents of one hash bucket.
type Bucket struct {
	Index     uint8
	Instances []model.Instance
}

// Differing returns the contents of the buckets whose hashes differ from those of another
// table. A slice of the wrong length is treated as the hashes of an empty table.
func (t *Table) Differing(remote []uint64) []Bucket {
	if len(remote) != Buckets {
		remote = make([]uint64, Buckets)
	}
	positions := [Buckets]int{}
	var differing []Bucket
	for i := range t.buckets {
		if t.buckets[i] != remote[i] {
			differing = append(differing, Bucket{Index: uint8(i)})
			positions[i] = len(differing)
		}
	}
	for _, e := range t.sorted {
		if p := positions[e.bucket]; p > 0 {
			differing[p-1].Instances = append(differing[p-1].Instances, e.instance)
		}
	}
	return differing
}

// Repair merges the differing buckets of another table whose list has the given revision. It
// returns the change of the list and the announcements of this table that the other one
// lacks, and reports whether anything changed. If the list of the other table is older, only
// its announcements are merged.
func (t *Table) Repair(revision uint64, buckets []Bucket, now time.Time) (delta ListDelta, missing []Announcement, changed bool) {
	delta = ListDelta{From: t.revision, To: t.revision}
	if revision >= t.revision {
		delta, changed = t.replaceBuckets(revision, buckets)
	}
	for _, bucket := range buckets {
		for _, instance := range bucket.Instances {
			a := Announcement{ID: instance.ID, Incarnation: instance.Incarnation, State: instance.State}
			current, listed := t.Get(instance.ID)
			switch {
			case !listed:
			case t.Announce(a, now):
				changed = true
			case current.Incarnation != a.Incarnation || current.State != a.State:
				missing = append(missing, Announcement{ID: current.ID, Incarnation: current.Incarnation, State: current.State})
			}
		}
	}
	return delta, missing, changed
}

// replaceBuckets replaces the listed instances of whole buckets, unless the list would exceed
// MaxInstances. It returns the change of the list and reports whether there was one.
func (t *Table) replaceBuckets(revision uint64, buckets []Bucket) (ListDelta, bool) {
	delta := ListDelta{From: t.revision, To: revision}
	replaced := [Buckets]bool{}
	listed := map[model.InstanceID]struct{}{}
	for _, bucket := range buckets {
		replaced[bucket.Index] = true
		for _, instance := range bucket.Instances {
			if bucketOf(instance.ID) != bucket.Index {
				continue
			}
			listed[instance.ID] = struct{}{}
			if e, ok := t.byID[instance.ID]; !ok || !sameListing(e.instance, instance) {
				delta.Upserts = append(delta.Upserts, instance)
			}
		}
	}
	for _, e := range t.sorted {
		if _, ok := listed[e.instance.ID]; !ok && replaced[e.bucket] {
			delta.Removed = append(delta.Removed, e.instance.ID)
		}
	}
	if len(t.sorted)+len(delta.Upserts)-len(delta.Removed) > MaxInstances {
		return ListDelta{From: t.revision, To: t.revision}, false
	}
	if revision == t.revision && len(delta.Upserts)+len(delta.Removed) == 0 {
		return delta, false
	}
	t.apply(delta)
	return delta, true
}

func bucketOf(id model.InstanceID) uint8 {
	return uint8(xxhash.Sum64String(string(id)))
}
