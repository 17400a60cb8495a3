package meshtest

import (
	"maps"
	"slices"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// Copy is a copy of the contents of a Store, from which it can be restored.
type Copy struct {
	revision  uint64
	table     *route.Table
	entries   map[model.InstanceID]catalog.Entry
	evacuated map[string]catalog.Evacuation
	history   []catalog.State
	first     uint64
}

// Copy returns a copy of the contents.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.revision, s.table, maps.Clone(s.entries), maps.Clone(s.evacuated), slices.Clone(s.history), s.first}
}

// Restore returns to a copy and begins a new era. What was written since the copy is lost, and its revisions
// are given out again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.table, s.first = c.revision, c.table, c.first
	s.entries, s.evacuated, s.history = maps.Clone(c.entries), maps.Clone(c.evacuated), slices.Clone(c.history)
	close(s.changed)
	s.changed = make(chan struct{})
}

// HideEra makes responses carry no era, like those of an old proxy in front of the store, or ends that.
func (s *Store) HideEra(hide bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hideEra = hide
}

// inEra returns a state whose revisions are positions in the era that the response names. The caller holds the
// mutex.
func (s *Store) inEra(state catalog.State) catalog.State {
	era := s.era
	if s.hideEra {
		era = 0
	}
	state.Revision = catalog.Position(era, state.Revision)
	state.Entries, state.Evacuations = slices.Clone(state.Entries), slices.Clone(state.Evacuations)
	for i := range state.Entries {
		state.Entries[i].Revision = catalog.Position(era, state.Entries[i].Revision)
	}
	for i := range state.Evacuations {
		state.Evacuations[i].Revision = catalog.Position(era, state.Evacuations[i].Revision)
	}
	return state
}
