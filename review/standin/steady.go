package main

import (
	"net/http"
	"sync"
	"time"
)

// steady sends requests on the routes of the first configuration and on one that was added later, to
// all machines, and reports whether those on the later one are served less than a quarter as often.
func (f *fleet) steady(late string, first ...string) bool {
	served, sent := make(map[string]int), make(map[string]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	paths := append([]string{late}, first...)
	for _, m := range f.machines {
		group.Go(func() {
			c := &caller{address: f.addressOf(m)}
			defer c.close()
			for i := range 25 * len(paths) {
				a := &attempt{ID: newID(), Method: "GET", Host: host, Path: paths[i%len(paths)], Limit: 2500 * time.Millisecond}
				if a.Path == jobPath {
					a.Method, a.Body = "POST", 600
				}
				c.do(a)
				mu.Lock()
				sent[a.Path]++
				if a.Status == http.StatusOK && a.Seal != "" {
					served[a.Path]++
				}
				mu.Unlock()
				f.say("steady %s", a.line(f.began))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	firstServed, firstSent := 0, 0
	for _, path := range paths {
		f.say("steady state: %d of %d requests on %s served", served[path], sent[path], path)
		if path != late {
			firstServed, firstSent = firstServed+served[path], firstSent+sent[path]
		}
	}
	firstShare := float64(firstServed) / float64(firstSent)
	lateShare := float64(served[late]) / float64(sent[late])
	f.say("share served: %.2f on the first routes, %.2f on the route that was added later", firstShare, lateShare)
	return firstShare > 0 && lateShare < firstShare/4
}

// jobPath is a path of the route for uploads.
const jobPath = "/job/2f"
