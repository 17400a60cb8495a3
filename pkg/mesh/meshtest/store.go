// Package meshtest has stand-ins for the peers of a daemon: the platform's store, upstreams
// and a fleet of daemons on loopback, with switches for the faults that daemons must survive.
package meshtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh"
)

// ErrDown is the error of a store that is down.
var ErrDown = errors.New("the store is down")

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	table    *route.Table
	entries  map[model.InstanceID]catalog.Entry
	// evacuated holds the items of evacuated data centres.
	evacuated map[string]catalog.Evacuation
	history   []catalog.State // a change for each revision
	first     uint64          // lowest revision that a watch may start after
	down      bool
	silent    bool
	transfer  time.Duration
	listTime  time.Duration
	changed   chan struct{}
	// era counts the returns from an older copy; hideEra makes the responses carry no era.
	era     uint64
	hideEra bool
	// lists and watches count the calls.
	lists, watches int
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{revision: 1, first: 1, entries: make(map[model.InstanceID]catalog.Entry), evacuated: make(map[string]catalog.Evacuation), changed: make(chan struct{})}
}

// change appends a change. The caller holds the mutex.
func (s *Store) change(c catalog.State) {
	s.revision++
	c.Revision = s.revision
	for i := range c.Entries {
		c.Entries[i].Revision = s.revision
	}
	for i := range c.Evacuations {
		c.Evacuations[i].Revision = s.revision
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetTable publishes a table.
func (s *Store) SetTable(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	s.change(catalog.State{Table: t})
}

// Put lists an instance.
func (s *Store) Put(inst catalog.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := inst
	e := catalog.Entry{ID: inst.ID, Instance: &copied}
	s.change(catalog.State{Entries: []catalog.Entry{e}})
	e.Revision = s.revision
	s.entries[inst.ID] = e
}

// Reject replaces an entry by one that cannot be read.
func (s *Store) Reject(id model.InstanceID, problem string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, id)
	s.change(catalog.State{Entries: []catalog.Entry{{ID: id, Problem: problem}}})
}

// Remove removes an instance.
func (s *Store) Remove(id model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, id)
	s.change(catalog.State{Entries: []catalog.Entry{{ID: id}}})
}

// Evacuate lists the evacuation of a data centre.
func (s *Store) Evacuate(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(catalog.State{Evacuations: []catalog.Evacuation{{DataCentre: dataCentre}}})
	s.evacuated[dataCentre] = catalog.Evacuation{DataCentre: dataCentre, Revision: s.revision}
}

// EndEvacuation removes the evacuation of a data centre.
func (s *Store) EndEvacuation(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuated, dataCentre)
	s.change(catalog.State{Evacuations: []catalog.Evacuation{{DataCentre: dataCentre, Ended: true}}})
}

// SetDown makes every call fail, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetSilent makes watches answer nothing until their context ends, or ends that.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// SetTransfer makes an answer to a watch take a time from its begin to its end.
func (s *Store) SetTransfer(transfer time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer = transfer
}

func (s *Store) transferTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfer
}

// SetListTime makes a read of the whole state take a time.
func (s *Store) SetListTime(listTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listTime = listTime
}

// Forget drops the history: watches have to read the whole state again.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = s.revision
	s.history = nil
}

// Revision returns the revision of the last change, without the era.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// Calls returns the numbers of lists and watches so far.
func (s *Store) Calls() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.watches
}

// List implements mesh.Store.
func (s *Store) List(ctx context.Context) (catalog.State, error) {
	s.mu.Lock()
	listTime := s.listTime
	s.mu.Unlock()
	if listTime > 0 {
		timer := time.NewTimer(listTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return catalog.State{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return catalog.State{}, ErrDown
	}
	state := catalog.State{Revision: s.revision, Table: s.table}
	for _, e := range s.entries {
		state.Entries = append(state.Entries, e)
	}
	for _, e := range s.evacuated {
		state.Evacuations = append(state.Evacuations, e)
	}
	return s.inEra(state), nil
}

// Instances implements mesh.Store.
func (s *Store) Instances(context.Context) ([]catalog.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, ErrDown
	}
	var list []catalog.Instance
	for _, e := range s.entries {
		list = append(list, *e.Instance)
	}
	return list, nil
}

// Watch implements mesh.Store.
func (s *Store) Watch(ctx context.Context, after uint64, hold time.Duration, answering func()) (catalog.State, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		state, changed, err := s.since(catalog.StoreRevision(after))
		if transfer := s.transferTime(); transfer > 0 && err == nil && hasChanges(state) {
			answering()
			time.Sleep(transfer)
			return state, ctx.Err()
		}
		if err != nil || hasChanges(state) {
			answering()
			return state, err
		}
		select {
		case <-changed:
		case <-timer.C:
			if s.isSilent() {
				<-ctx.Done()
				return catalog.State{}, ctx.Err()
			}
			answering()
			return state, nil
		case <-ctx.Done():
			return catalog.State{}, ctx.Err()
		}
	}
}

func hasChanges(s catalog.State) bool {
	return len(s.Entries) > 0 || len(s.Evacuations) > 0 || s.Table != nil
}

// since returns the changes after a revision, and a channel that is closed at the next one.
func (s *Store) since(after uint64) (catalog.State, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := catalog.State{Revision: s.revision}
	switch {
	case s.silent:
		return catalog.State{}, make(chan struct{}), nil
	case s.down:
		return catalog.State{}, nil, ErrDown
	case after < s.first || after > s.revision:
		return catalog.State{}, nil, mesh.ErrHistoryGone
	}
	for _, c := range s.history {
		if c.Revision <= after {
			continue
		}
		state.Entries = append(state.Entries, c.Entries...)
		state.Evacuations = append(state.Evacuations, c.Evacuations...)
		if c.Table != nil {
			state.Table = c.Table
		}
	}
	return s.inEra(state), s.changed, nil
}
