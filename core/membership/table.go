package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// MaxInstances bounds the list at about three times the design size (19,000).
	MaxInstances = 1 << 16
	// MaxPending bounds the announcements of instances that are not listed yet.
	MaxPending = 4096
	// pendingTTL is the time for which an announcement of an unlisted instance is kept:
	// four times the 30 s by which the platform's list lags.
	pendingTTL = 2 * time.Minute
)

// entry is a listed instance with its hash and the bucket that the hash counts in.
type entry struct {
	instance model.Instance
	hash     uint64
	bucket   uint8
}

// pending is an announcement for an instance that the platform does not list yet.
type pending struct {
	announcement Announcement
	expires      time.Time
}

// Table is the membership that one daemon has merged from the list and the announcements.
type Table struct {
	revision uint64
	byID     map[model.InstanceID]*entry
	sorted   []*entry
	pending  map[model.InstanceID]pending
	buckets  [Buckets]uint64
	hash     uint64
	view     *View
}

// New returns an empty table.
func New() *Table {
	return &Table{byID: map[model.InstanceID]*entry{}, pending: map[model.InstanceID]pending{}}
}

// Revision returns the revision of the current list, 0 before the first list.
func (t *Table) Revision() uint64 { return t.revision }

// Len returns the number of listed instances.
func (t *Table) Len() int { return len(t.sorted) }

// View returns the current view. The result is shared and must not be modified.
func (t *Table) View() View {
	if t.view == nil {
		instances := make([]model.Instance, len(t.sorted))
		for i, e := range t.sorted {
			instances[i] = e.instance
		}
		t.view = &View{Revision: t.revision, Instances: instances}
	}
	return *t.view
}

// Get returns the listed instance with the given ID.
func (t *Table) Get(id model.InstanceID) (model.Instance, bool) {
	if e, ok := t.byID[id]; ok {
		return e.instance, true
	}
	return model.Instance{}, false
}

// SetList replaces the list and returns the change. A list that is older than the current
// one, or that has the same revision and other contents, is ignored and reported as an error.
func (t *Table) SetList(revision uint64, instances []model.Instance) (ListDelta, error) {
	if err := checkList(instances); err != nil {
		return ListDelta{}, err
	}
	if revision < t.revision {
		return ListDelta{}, &StaleListError{Held: t.revision, Got: revision}
	}
	delta := t.difference(instances)
	delta.To = revision
	if revision == t.revision {
		if len(delta.Upserts)+len(delta.Removed) > 0 {
			return ListDelta{}, &ConflictError{Revision: revision}
		}
		return delta, nil
	}
	t.apply(delta)
	return delta, nil
}

// ApplyDelta applies a list delta that another daemon sent. It reports whether the revision
// rose, and returns a *GapError if the delta does not start at the current revision.
func (t *Table) ApplyDelta(d ListDelta) (bool, error) {
	if d.To <= t.revision {
		return false, nil
	}
	if d.From != t.revision {
		return false, &GapError{Held: t.revision, From: d.From}
	}
	if size := len(t.sorted) + len(d.Upserts); size > MaxInstances+len(d.Removed) {
		return false, &SizeError{Got: size}
	}
	t.apply(d)
	return true, nil
}

// Announce merges an announcement and reports whether it changed the table. An announcement
// for an unlisted instance is kept until the instance is listed or the announcement expires;
// beyond MaxPending of them it is dropped.
func (t *Table) Announce(a Announcement, now time.Time) bool {
	if a.ID == "" {
		return false
	}
	if e, ok := t.byID[a.ID]; ok {
		if !a.newer(e.instance.Incarnation, e.instance.State) {
			return false
		}
		updated := e.instance
		updated.Incarnation, updated.State = a.Incarnation, a.State
		t.replace(e, updated)
		return true
	}
	previous, ok := t.pending[a.ID]
	if ok && !a.newer(previous.announcement.Incarnation, previous.announcement.State) {
		return false
	}
	if !ok && len(t.pending) >= MaxPending {
		t.expire(now)
		if len(t.pending) >= MaxPending {
			return false
		}
	}
	t.pending[a.ID] = pending{announcement: a, expires: now.Add(pendingTTL)}
	return true
}

// expire deletes the announcements for instances that were not listed in time.
func (t *Table) expire(now time.Time) {
	for id, p := range t.pending {
		if now.After(p.expires) {
			delete(t.pending, id)
		}
	}
}

// apply applies a list delta without checks.
func (t *Table) apply(d ListDelta) {
	for _, id := range d.Removed {
		t.remove(id)
	}
	if len(d.Removed) > 0 {
		t.sorted = slices.DeleteFunc(t.sorted, func(e *entry) bool { return t.byID[e.instance.ID] != e })
	}
	added := 0
	for _, instance := range d.Upserts {
		if t.upsert(instance) {
			added++
		}
	}
	if added > 0 {
		slices.SortFunc(t.sorted, func(a, b *entry) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	}
	t.revision = d.To
	t.view = nil
}

// upsert adds or updates a listed instance and reports whether it was added. An announced
// state and incarnation are kept if they are newer than those of the list.
func (t *Table) upsert(instance model.Instance) bool {
	if e, ok := t.byID[instance.ID]; ok {
		announced := Announcement{Incarnation: e.instance.Incarnation, State: e.instance.State}
		t.replace(e, merge(instance, announced))
		return false
	}
	if p, ok := t.pending[instance.ID]; ok {
		delete(t.pending, instance.ID)
		instance = merge(instance, p.announcement)
	}
	e := &entry{bucket: bucketOf(instance.ID)}
	t.byID[instance.ID] = e
	t.sorted = append(t.sorted, e)
	t.replace(e, instance)
	return true
}

// remove deletes a listed instance from the index and the hashes. The caller deletes it from
// t.sorted.
func (t *Table) remove(id model.InstanceID) {
	if e, ok := t.byID[id]; ok {
		t.xorHash(e.bucket, e.hash)
		delete(t.byID, id)
	}
}

// replace sets the instance of an entry and updates the hashes. The hash of a new entry is 0,
// which leaves the combined hashes unchanged.
func (t *Table) replace(e *entry, instance model.Instance) {
	t.xorHash(e.bucket, e.hash)
	e.instance = intern(instance)
	e.hash = hashOf(instance)
	t.xorHash(e.bucket, e.hash)
	t.view = nil
}

// xorHash adds the hash of an instance to the combined hashes, or removes one that was added.
// Exclusive or makes the combined hashes independent of the order of the instances.
func (t *Table) xorHash(bucket uint8, hash uint64) {
	t.buckets[bucket] ^= hash
	t.hash ^= hash
}

// difference returns the change from the current list to another one.
func (t *Table) difference(instances []model.Instance) ListDelta {
	delta := ListDelta{From: t.revision}
	listed := make(map[model.InstanceID]struct{}, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = struct{}{}
		e, ok := t.byID[instance.ID]
		if !ok || !sameListing(e.instance, instance) {
			delta.Upserts = append(delta.Upserts, instance)
		}
	}
	for _, e := range t.sorted {
		if _, ok := listed[e.instance.ID]; !ok {
			delta.Removed = append(delta.Removed, e.instance.ID)
		}
	}
	return delta
}

// sameListing reports whether a and b agree in the fields that the platform's list decides.
func sameListing(a, b model.Instance) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Place == b.Place &&
		a.ControlAddr == b.ControlAddr && a.ForwardAddr == b.ForwardAddr
}

// merge returns the instance with the announced state and incarnation if these are newer.
func merge(instance model.Instance, a Announcement) model.Instance {
	if a.newer(instance.Incarnation, instance.State) {
		instance.Incarnation, instance.State = a.Incarnation, a.State
	}
	return instance
}

// checkList checks the size of a list and the IDs of its instances.
func checkList(instances []model.Instance) error {
	if len(instances) > MaxInstances {
		return &SizeError{Got: len(instances)}
	}
	seen := make(map[model.InstanceID]struct{}, len(instances))
	for _, instance := range instances {
		if _, ok := seen[instance.ID]; ok || instance.ID == "" {
			return &DuplicateError{ID: string(instance.ID)}
		}
		seen[instance.ID] = struct{}{}
	}
	return nil
}

// intern returns the instance with shared copies of the strings that many instances have in
// common. Without it, 19,000 decoded instances would each hold their own copy of the names
// of their service, region and data centre.
func intern(instance model.Instance) model.Instance {
	instance.Service = unique.Make(instance.Service).Value()
	instance.Place.Region = unique.Make(instance.Place.Region).Value()
	instance.Place.DataCentre = unique.Make(instance.Place.DataCentre).Value()
	return instance
}

// hashOf hashes all fields of an instance, with separators that cannot occur in an address,
// a name or an ID.
func hashOf(instance model.Instance) uint64 {
	buffer := make([]byte, 0, 256)
	for _, field := range []string{
		string(instance.ID), instance.Service, instance.Place.Region, instance.Place.DataCentre,
		instance.ControlAddr, instance.ForwardAddr,
	} {
		buffer = append(buffer, field...)
		buffer = append(buffer, 0)
	}
	buffer = append(buffer, byte(instance.State))
	buffer = binary.BigEndian.AppendUint64(buffer, instance.Incarnation)
	return xxhash.Sum64(buffer)
}
