// Package membership maintains the instances of the fleet as one daemon knows them. It merges
// two sources: the platform's list, which decides which instances exist, and the announcements
// that daemons make about their own instances, which decide state and incarnation.
//
// A Table is not safe for concurrent use and reads no clock.
package membership

import "mangoshed.example/mangoshed/core/model"

// View is an immutable snapshot of the membership. It includes every change of the
// platform's list up to Revision.
type View struct {
	// Revision is the revision of the platform's list; 0 before the first list.
	Revision uint64
	// Instances holds the listed instances, sorted by ID, with their announced states
	// and incarnations.
	Instances []model.Instance
}

// Announcement is the state that a daemon announces for its own instance. The incarnation
// rises with each restart of the instance.
type Announcement struct {
	ID          model.InstanceID
	Incarnation uint64
	State       model.State
}

// newer reports whether a supersedes an entry with the given incarnation and state: a higher
// incarnation supersedes a lower one, and leaving supersedes live of the same incarnation.
func (a Announcement) newer(incarnation uint64, state model.State) bool {
	if a.Incarnation != incarnation {
		return a.Incarnation > incarnation
	}
	return a.State > state
}

// ListDelta is the difference between two revisions of the platform's list. It must be
// applied to revision From only. An instance that was removed and added again between From and
// To is not part of the delta, so a table at a revision in between would lack the instance.
type ListDelta struct {
	From, To uint64
	Upserts  []model.Instance
	Removed  []model.InstanceID
}
