package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a target.
type run struct {
	ID, Target, Method, Path, Caller string
	Bytes                            int64
	Began, Ended                     time.Time
	Status                           int
}

// target is a stand-in of an application. It runs at most slots requests at once and rejects the
// others as not executed.
type target struct {
	id, service, zone, address string
	slots                      int
	born                       time.Time
	work                       func(r *http.Request) time.Duration
	// answer replaces the status of the answer after a run; nil for 200.
	answer func(r *http.Request) int

	mu       sync.Mutex
	running  int
	arrivals int
	runs     []*run
	sequence int
}

func (t *target) start() error {
	listener, err := net.Listen("tcp4", t.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// beat writes the target's entry to the store until the program ends.
func (t *target) beat(s *store, interval time.Duration) {
	for {
		t.sequence++
		value, _ := json.Marshal(map[string]any{
			"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": "ready",
			"cold_remaining": "0ms", "sequence": t.sequence, "born": t.born.UnixMilli(),
		})
		s.put("servers/"+t.id, value)
		time.Sleep(interval)
	}
}

func (t *target) load(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", t.running, t.slots))
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", t.id)
	if r.URL.Path == "/health" {
		t.load(h)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	t.mu.Lock()
	t.arrivals++
	t.mu.Unlock()
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	began := time.Now()
	bytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // a request that did not arrive as a whole is not run
	}
	t.mu.Lock()
	if t.running >= t.slots {
		t.mu.Unlock()
		t.load(h)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.running++
	entry := &run{ID: id, Target: t.id, Method: r.Method, Path: r.URL.Path, Caller: r.Header.Get("X-Calling-Service"), Bytes: bytes, Began: began}
	t.runs = append(t.runs, entry)
	t.mu.Unlock()
	status := t.execute(r)
	t.mu.Lock()
	t.running--
	entry.Ended, entry.Status = time.Now(), status
	t.mu.Unlock()
	if status == 0 {
		return // the connection has closed
	}
	t.load(h)
	h.Set("X-Server-Seal", "seal."+t.id+"."+id)
	body := []byte("answer to " + id + " by " + t.id + "\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// execute does the work of a request and returns the status of the answer, 0 if the caller has left.
func (t *target) execute(r *http.Request) int {
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Milliseconds")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	work := t.work(r)
	timer := time.NewTimer(min(work, limit))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return 0
	}
	switch {
	case work > limit:
		return http.StatusGatewayTimeout
	case t.answer != nil:
		return t.answer(r)
	}
	return http.StatusOK
}

// find returns the runs of a request.
func (t *target) find(id string) []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*run
	for _, r := range t.runs {
		if r.ID == id {
			out = append(out, r)
		}
	}
	return out
}
