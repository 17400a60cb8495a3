package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's store: reads, ranges and watches over HTTP. It keeps its whole history.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	items   map[string]item
	history []item
	rev     uint64
	changed chan struct{}
}

func startStore(address string) (*store, error) {
	s := &store{address: address, items: make(map[string]item), rev: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /mangoshed/kv-key", s.serveKey)
	mux.HandleFunc("GET /mangoshed/kv-range", s.serveRange)
	mux.HandleFunc("GET /mangoshed/kv-watch", s.serveWatch)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an item.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Removed: true})
	s.wake()
}

// has reports whether an item exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// wake ends the waits of the watches. The caller holds the mutex.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 50
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > page
	writeJSON(w, map[string]any{"items": list[:min(page, len(list))], "more_pages": more, "store_revision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "store_revision": rev})
			return
		}
	}
}
