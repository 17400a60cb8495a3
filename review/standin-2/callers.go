package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// caller sends ordinary requests to the daemon of its machine and counts their answers.
type caller struct {
	f      *fleet
	client *http.Client
}

var nextID atomic.Int64

func newCaller(f *fleet) *caller {
	return &caller{f: f, client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
}

// answer is the end of one attempt; status 0 stands for a connection that ended without a whole answer.
type answer struct {
	id     string
	status int
	sealed bool
	took   time.Duration
}

// send sends one attempt.
func (c *caller) send(m *machine, method, path string, limit time.Duration, body []byte) answer {
	a := answer{id: fmt.Sprintf("c%015x", nextID.Add(1))}
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	req, err := http.NewRequest(method, "http://"+m.outbound()+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	req.Host = "app.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return a
	}
	a.status, a.sealed = resp.StatusCode, resp.Header.Get("X-Server-Seal") != ""
	return a
}

// tally counts answers by status.
type tally struct {
	mu       sync.Mutex
	byStatus map[int]int
	sent     int
	served   int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byStatus == nil {
		t.byStatus = make(map[int]int)
	}
	t.sent++
	t.byStatus[a.status]++
	if a.status >= 200 && a.status < 300 && a.sealed {
		t.served++
	}
}

// share returns the share of served requests.
func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == 0 {
		return 0
	}
	return float64(t.served) / float64(t.sent)
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d sent, %d served, by status %v", t.sent, t.served, t.byStatus)
}

// stream sends requests at a steady rate.
type stream struct {
	end   chan struct{}
	group *sync.WaitGroup
}

// halt ends the sending, wait waits for the answers as well.
func (s stream) halt() { close(s.end) }
func (s stream) wait() { s.group.Wait() }
func (s stream) stop() { s.halt(); s.wait() }

// load sends requests from a machine at a steady rate.
func (c *caller) load(m *machine, perSecond float64, path string, limit time.Duration, into func(a answer)) stream {
	end := make(chan struct{})
	group := &sync.WaitGroup{}
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-end:
				return
			case <-ticker.C:
				group.Add(1)
				go func() {
					defer group.Done()
					into(c.send(m, http.MethodGet, path, limit, nil))
				}()
			}
		}
	}()
	return stream{end, group}
}
