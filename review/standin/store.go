package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store, or its removal, as it goes over the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes an item and returns its revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return s.revision
}

// record appends a change and wakes the watches. The caller holds the mutex.
func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// pageSize bounds the items of one page.
const pageSize = 500

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/mangoshed/kv-key":
		s.mu.Lock()
		it, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, it)
	case "/mangoshed/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/mangoshed/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageSize
	if more {
		list = list[:pageSize]
	}
	writeJSON(w, map[string]any{"items": list, "more_pages": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				list = append(list, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			writeJSON(w, map[string]any{"events": list, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": list, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
