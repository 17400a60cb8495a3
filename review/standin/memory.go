package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Case "memory": consumers of one machine upload bodies within the limits of the configuration, at
// once, while others of the same machine make ordinary requests on kept connections. The platform
// kills a process that holds more than memory_mb, and starts it again.
const (
	uploads     = 20
	uploadBytes = 16 << 20 // max_body_bytes is 64 MB
	smallUpload = 60_000
	// uploadRate keeps all uploads together below the 1,000 Mbit/s of the machine's link.
	uploadRate  = 930e6 / 8 / uploads
	uploadLimit = 3 * time.Second
	keptCallers = 16
)

func caseMemory(record *os.File, trouble bool) (bool, error) {
	work := func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, "/job/") {
			return 260 * time.Millisecond
		}
		return 220 * time.Millisecond
	}
	f, err := newFleet(record, []member{
		{ip: "127.0.0.11", service: "workshop", zone: "amman-a", work: work},
		{ip: "127.0.0.12", service: "workshop", zone: "amman-b", work: work},
		{ip: "127.0.0.13", service: "workshop", zone: "irbid-a", work: work},
	})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	f.publish(5, []string{"workshop"}, []routeSpec{
		{"r-job", "/job/", "upload", "workshop", 3 * time.Second},
		{"r-view", "/view/", "safe", "workshop", 2500 * time.Millisecond},
		{"r-book", "/book/", "unsafe", "workshop", 3 * time.Second},
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	entry := f.machines[0]
	stop := make(chan struct{})
	var kills atomic.Int32
	var platform sync.WaitGroup
	platform.Go(func() { enforceMemory(f, stop, &kills) })

	// The consumers with kept connections.
	var mu sync.Mutex
	var kept []*attempt
	var callers sync.WaitGroup
	for n := range keptCallers {
		callers.Go(func() {
			c := &caller{address: f.addressOf(entry)}
			defer c.close()
			time.Sleep(time.Duration(n) * 17 * time.Millisecond)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				a := &attempt{ID: newID(), Method: "GET", Host: host, Path: "/view/2f", Limit: 2500 * time.Millisecond}
				if (n+i)%2 == 0 {
					a.Method, a.Path, a.Limit, a.Body = "POST", "/book/2f", 3*time.Second, 600
				}
				keptConn := c.conn != nil
				c.do(a)
				if keptConn {
					mu.Lock()
					kept = append(kept, a)
					mu.Unlock()
				}
				f.say("kept=%v %s", keptConn, a.line(f.began))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	size := smallUpload
	if trouble {
		size = uploadBytes
	}
	f.say("%d consumers begin to upload %d bytes each", uploads, size)
	var group sync.WaitGroup
	for range uploads {
		group.Go(func() {
			a := &attempt{ID: newID(), Method: "POST", Host: host, Path: jobPath, Limit: uploadLimit, Body: size, Rate: uploadRate}
			c := &caller{address: f.addressOf(entry)}
			defer c.close()
			c.do(a)
			f.say("upload %s", a.line(f.began))
		})
	}
	group.Wait()
	time.Sleep(4 * time.Second)
	close(stop)
	callers.Wait()
	platform.Wait()

	lost := 0
	for _, a := range kept {
		if a.Status != 0 || !strings.HasPrefix(a.Err, "answer") {
			continue
		}
		if runs := f.find(a.ID); len(runs) > 0 {
			lost++
			f.say("lost: %s was run by %s; its kept connection closed without an answer", a.ID, runs[0].Target)
		}
	}
	f.say("processes over their memory limit: %d; requests from kept connections that were passed on and lost: %d", kills.Load(), lost)
	return lost > 3, nil
}

// enforceMemory plays the platform: it kills a process over its memory limit and starts it again.
func enforceMemory(f *fleet, stop <-chan struct{}, kills *atomic.Int32) {
	peak := make([]float64, len(f.machines))
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			for i, m := range f.machines {
				f.say("machine %s: highest anonymous memory %.0f MB of %d", m.ip, peak[i], memoryMB)
			}
			return
		case <-ticker.C:
		}
		for i, m := range f.machines {
			mb := m.residentMB()
			peak[i] = max(peak[i], mb)
			if mb > memoryMB {
				f.say("machine %s: the process holds %.0f MB of %d; the platform kills it", m.ip, mb, memoryMB)
				kills.Add(1)
				m.kill()
				time.Sleep(500 * time.Millisecond)
				if err := m.start(); err != nil {
					f.say("machine %s: not started again: %v", m.ip, err)
				}
			}
		}
	}
}
