package dissemination

import (
	"github.com/cespare/xxhash/v2"
	"mangoshed.example/mangoshed/core/model"
)

// ringSize bounds the versions and messages that a ring remembers.
const ringSize = 1024

// ring is a set that forgets its oldest elements. The zero value is empty.
type ring[T comparable] struct {
	set   map[T]struct{}
	order []T
	next  int
}

// add adds a value and reports whether it was new.
func (r *ring[T]) add(value T) bool {
	if _, ok := r.set[value]; ok {
		return false
	}
	if r.set == nil {
		r.set = map[T]struct{}{}
	}
	if len(r.order) < ringSize {
		r.order = append(r.order, value)
	} else {
		delete(r.set, r.order[r.next])
		r.order[r.next] = value
		r.next = (r.next + 1) % ringSize
	}
	r.set[value] = struct{}{}
	return true
}

func (r *ring[T]) has(value T) bool {
	_, ok := r.set[value]
	return ok
}

func hashID(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }
