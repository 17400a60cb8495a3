package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// queueLength is the number of requests that wait at a target.
const queueLength = 36

// target is a sound application target, as PROTOCOL.md describes it.
type target struct {
	m        *machine
	slots    int
	listener net.Listener
	record   *recorder
	mu       sync.Mutex
	running  int
	runs     map[string]int
}

// newTarget starts the target of a machine.
func newTarget(m *machine, slots int, record *recorder) (*target, error) {
	l, err := net.Listen("tcp4", m.target)
	if err != nil {
		return nil, err
	}
	t := &target{m: m, slots: slots, listener: l, record: record, runs: make(map[string]int)}
	go func() { _ = http.Serve(l, t) }()
	return t, nil
}

// ServeHTTP runs a request, unless it expects another target or the queue is full.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	t.mu.Lock()
	load := strconv.Itoa(t.running) + ",0," + strconv.Itoa(t.slots)
	t.mu.Unlock()
	w.Header().Set("X-Server-Load", load)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", t.m.id)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != t.m.id {
		w.Header().Set("X-Instance-Id", t.m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	if t.running >= t.slots+queueLength {
		t.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.running++
	t.runs[id]++
	t.mu.Unlock()
	defer func() { t.mu.Lock(); t.running--; t.mu.Unlock() }()
	n, _ := io.Copy(io.Discard, r.Body)
	t.record.say("run       %s at %s, body of %d bytes, caller %s", id, t.m.id, n, r.Header.Get("X-Calling-Service"))
	time.Sleep(work)
	w.Header().Set("X-Server-Seal", "seal."+id)
	w.Header().Set("Content-Length", strconv.Itoa(response))
	_, _ = io.WriteString(w, strings.Repeat("x", response))
}

// ran returns how often the target has begun to work on a request.
func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}
