package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// target is an application target: it runs so many requests at once, queues a few more and refuses the others.
type target struct {
	id, service, address, zone string
	slots                      int
	// work is the time of a run; answer its body.
	work   func(r *http.Request) time.Duration
	answer func(r *http.Request) []byte
	// ran is called when a run begins.
	ran func(t *target, r *http.Request, body []byte)
	// respond may take the place of the usual answer after a run.
	respond func(w http.ResponseWriter, r *http.Request) bool

	// still is set while the machine stands still.
	still atomic.Bool
	// runs is the number of runs that began.
	runs atomic.Int64

	server *http.Server
	sem    chan struct{}
	mu     sync.Mutex
	queued int
	born   int64
	seq    int
}

func (t *target) start() error {
	t.sem = make(chan struct{}, t.slots)
	t.born = time.Now().UnixMilli()
	l, err := net.Listen("tcp4", t.address)
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	return nil
}

// entry returns what the target says of itself in the store.
func (t *target) entry(state string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	data, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": state,
		"cold_remaining": "0ms", "sequence": t.seq, "born": t.born,
	})
	return data
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for t.still.Load() {
		time.Sleep(20 * time.Millisecond)
	}
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h["Date"] = nil
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(t.sem), t.queued, t.slots))
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", t.id)
		return
	}
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	refuse := func(status int) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch want := r.Header.Get("X-Expected-Instance"); {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case want != "" && want != t.id:
		h.Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case t.sem <- struct{}{}:
	default:
		t.mu.Lock()
		full := t.queued >= 4*t.slots
		if !full {
			t.queued++
		}
		t.mu.Unlock()
		if full {
			refuse(http.StatusServiceUnavailable)
			return
		}
		select {
		case t.sem <- struct{}{}:
		case <-r.Context().Done():
		}
		t.mu.Lock()
		t.queued--
		t.mu.Unlock()
		if r.Context().Err() != nil {
			return
		}
	}
	defer func() { <-t.sem }()
	t.runs.Add(1)
	if t.ran != nil {
		t.ran(t, r, body)
	}
	select {
	case <-time.After(t.work(r)):
	case <-r.Context().Done():
		return
	}
	if t.respond != nil && t.respond(w, r) {
		return
	}
	h.Set("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	answer := t.answer(r)
	h.Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}
