package main

import (
	"fmt"
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

// targetKind is what the targets of a service have in common.
type targetKind struct {
	slots    int
	work     time.Duration // of a run
	response int           // size of a response in bytes
}

// target is a sound application target, as PROTOCOL.md describes it.
type target struct {
	m      *machine
	store  *store
	record *recorder
	targetKind

	mu       sync.Mutex
	id       string // of the present incarnation
	started  int    // number of incarnations
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	harmful  string         // query of the requests that crash it
	runs     map[string]int // by request
}

// start starts the target, which then says in the store that it is ready.
func (t *target) start() error {
	listener, err := net.Listen("tcp4", t.m.target)
	if err != nil {
		return err
	}
	conns := make(map[net.Conn]bool)
	t.mu.Lock()
	t.started++
	t.id, t.listener, t.conns = fmt.Sprintf("i-%d-%d", t.m.n, t.started), listener, conns
	id := t.id
	t.mu.Unlock()
	server := &http.Server{Handler: t, ConnState: func(c net.Conn, state http.ConnState) {
		t.mu.Lock()
		defer t.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed:
			delete(conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.store.put("servers/"+id, t.m.entry(t.slots))
	t.record.say("target    %s is ready", id)
	return nil
}

// crashOn makes the target crash when it begins to run a request with the query.
func (t *target) crashOn(query string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.harmful = query
}

// crash ends the target without a word: its connections break, and nothing listens at its address until another
// incarnation starts.
func (t *target) crash() {
	t.mu.Lock()
	id := t.id
	_ = t.listener.Close()
	for c := range t.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	t.mu.Unlock()
	t.record.say("target    %s crashes", id)
	time.AfterFunc(lapse, func() { t.store.remove("servers/" + id) })
	time.AfterFunc(down, func() {
		if err := t.start(); err != nil {
			t.record.say("target    %s did not start again: %v", id, err)
		}
	})
}

// ServeHTTP runs a request, unless it expects another target or the queue is full.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request-Id")
	if request != "" {
		w.Header().Set("X-Request-Id", request)
	}
	t.mu.Lock()
	id, running := t.id, t.running
	t.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, t.slots), max(0, running-t.slots), t.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running >= t.slots+queueLength {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	t.running++
	t.runs[request]++
	harmful := t.harmful != "" && r.URL.RawQuery == t.harmful
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running--
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	t.record.say("run       %s at %s", request, id)
	if harmful {
		t.crash()
		return
	}
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return // the connection has closed
	}
	w.Header().Set("X-Server-Seal", "seal."+request)
	w.Header().Set("Content-Length", strconv.Itoa(t.response))
	_, _ = io.WriteString(w, strings.Repeat("x", t.response))
}

// ran returns how often the target has begun to work on a request.
func (t *target) ran(request string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[request]
}
