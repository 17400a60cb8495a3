package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	listener net.Listener
}

// storeItem is an item of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// newStore starts an empty store.
func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, items: make(map[string]storeItem), changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an item.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.add(storeItem{Key: key, Revision: s.revision, Removed: true})
}

// add appends a change to the history. The caller holds the mutex.
func (s *store) add(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers ranges and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	switch r.URL.Path {
	case "/mangoshed/kv-range":
		s.mu.Lock()
		items := []storeItem{}
		for key, it := range s.items {
			if strings.HasPrefix(key, prefix) && key > q.Get("after") {
				items = append(items, it)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		writeJSON(w, map[string]any{"items": items, "more_pages": false, "store_revision": revision})
	case "/mangoshed/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		for {
			s.mu.Lock()
			events := []storeItem{}
			for _, it := range s.history {
				if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
					events = append(events, it)
				}
			}
			revision, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				writeJSON(w, map[string]any{"events": events, "store_revision": revision})
				return
			}
			select {
			case <-changed:
			case <-timer.C:
				writeJSON(w, map[string]any{"events": events, "store_revision": revision})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
