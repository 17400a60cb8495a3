// Package membership merges what a daemon knows about the instances of the fleet:
// the platform's list, which decides which instances exist, and the announcements of
// the daemons themselves, which decide their state and incarnation.
//
// A Table is not safe for concurrent use and reads no clock.
package membership

import "mangoshed.example/mangoshed/core/model"

// View is an immutable state of the membership. Every change of the platform's list
// up to Revision is included.
type View struct {
	// Revision is the revision of the platform's list; 0 before the first list.
	Revision uint64
	// Instances holds the listed instances sorted by ID, with the announced state
	// and incarnation.
	Instances []model.Instance
}

// Announcement is what a daemon says about its own instance.
type Announcement struct {
	ID          model.InstanceID
	Incarnation uint64
	State       model.State
}

// newer reports whether a wins over an entry with the given incarnation and state: a
// higher incarnation wins, and leaving beats live of the same incarnation.
func (a Announcement) newer(incarnation uint64, state model.State) bool {
	if a.Incarnation != incarnation {
		return a.Incarnation > incarnation
	}
	return a.State > state
}

// ListDelta is the difference of the platform's list between two revisions. It applies
// to revision From only: an instance that was removed and listed again in between is not
// part of it, so that it would miss in a list of a revision in between.
type ListDelta struct {
	From, To uint64
	Upserts  []model.Instance
	Removed  []model.InstanceID
}
