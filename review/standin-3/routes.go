package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// lapse is the time after which the entry of a target that has crashed is removed, three check-ins, and down the
	// time until it is back.
	lapse = 3 * 870 * time.Millisecond
	down  = 4500 * time.Millisecond
	// judgedAfter is the time from the disruption to the first judged request, which is sent 5 s or more after the last
	// target is back, and judgedFor the time in which requests are judged.
	judgedAfter = time.Second + down + contact + 2*time.Second
	judgedFor   = 12 * time.Second
	// fewest is the number of requests on the added route that the rule asks for.
	fewest = 20
)

// served counts the judged requests of a route, and those that were answered with success.
type served struct {
	mu       sync.Mutex
	sent, ok int
}

func (c *served) add(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if ok {
		c.ok++
	}
}

func (c *served) share() float64 { return float64(c.ok) / float64(max(1, c.sent)) }

// sendOnTwoRoutes sends requests on a first and an added route to five targets, and returns those that were judged. path returns the
// path of a request on the route with the prefix, by the number of its machine and its own; every is the interval of the requests
// of each machine on each route, and troubleAt the time at which disrupt is called.
func (s *site) sendOnTwoRoutes(every, troubleAt time.Duration, path func(prefix string, machine, k int) string, disrupt func()) (onFirst, onAdded *served, err error) {
	const (
		service = "workshop"
		timeout = 10 * time.Second
		goal    = 2500 * time.Millisecond
	)
	for n, zone := range [...]string{"amman-a", "irbid-a", "amman-b", "irbid-b", "amman-a"} {
		speed := [...]float64{0.7, 0.7, 1.6}[n%3]
		s.add(zone, service, targetKind{slots: 9, work: time.Duration(float64(880*time.Millisecond) / speed), response: 400})
	}
	first, added := route{"r-1", "/cure/", service, timeout, goal}, route{"r-2", "/board/", service, timeout, goal}
	s.store.put("op/config", configuration(7, first))
	if err := s.start(); err != nil {
		return nil, nil, err
	}
	s.store.put("op/config", configuration(9, first, added))
	time.Sleep(contact)
	began := time.Now()
	judgedFrom := troubleAt + judgedAfter
	length := judgedFrom + judgedFor
	onFirst, onAdded = &served{}, &served{}
	var all sync.WaitGroup
	for _, m := range s.machines {
		for n, count := range [...]*served{onFirst, onAdded} {
			prefix := [...]string{first.prefix, added.prefix}[n]
			all.Go(func() {
				for k := 0; time.Since(began) < length; k++ {
					judged := time.Since(began) > judgedFrom
					all.Go(func() {
						if ok := s.ask(m, fmt.Sprintf("%04x%04x%08x", m.n, n+1, k), path(prefix, m.n, k)); judged {
							count.add(ok)
						}
					})
					time.Sleep(time.Until(began.Add(time.Duration(k+1) * every)))
				}
			})
		}
	}
	time.Sleep(time.Until(began.Add(troubleAt)))
	disrupt()
	all.Wait()
	s.record.say("first route: %d of %d served; added route: %d of %d", onFirst.ok, onFirst.sent, onAdded.ok, onAdded.sent)
	return onFirst, onAdded, nil
}

// ask sends a request as a consumer of a machine, on a new connection, and reports whether it was answered with success.
func (s *site) ask(m *machine, id, path string) bool {
	const limit = 10 * time.Second // the time limit of cure-log
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, "http://"+m.caller+path, nil)
	if err != nil {
		return false
	}
	request.Host = "app.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	s.record.say("sent      %s %s at machine %d", id, path, m.n)
	resp, err := client.Do(request)
	if err != nil {
		s.record.say("no answer %s: %v", id, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.record.say("answer    %s: status %d, %d bytes, error %v", id, resp.StatusCode, len(body), err)
	return err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Server-Seal") != ""
}
