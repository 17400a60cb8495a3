package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Case "slots": consumers in one region upload to a service in the other one. At a few moments the open
// connections between the regions go silent for good, while new ones work. Later, in calm, a
// configuration adds a route to that service.
const (
	regionBytes  = 30e6 / 8 // 30 Mbit/s
	regionDelay  = 8 * time.Millisecond
	photoBytes   = 300_000
	photoCallers = 8
	silences     = 8
	betweenThem  = 3 * time.Second
)

func caseSlots(record *os.File, trouble bool) (bool, error) {
	work := func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, "/job/") {
			return 72 * time.Millisecond
		}
		return 60 * time.Millisecond
	}
	f, err := newFleet(record, []member{
		{ip: "127.0.0.11", service: "workshop", zone: "amman-a", work: work},
		{ip: "127.0.0.12", service: "booking", zone: "amman-b", work: work},
		{ip: "127.0.0.13", service: "booking", zone: "irbid-a", work: work},
		{ip: "127.0.0.14", service: "booking", zone: "irbid-b", work: work},
	})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	// Each region uses a forward port of its own. The connections between the regions arrive at the
	// other region's port and pass over the link.
	region := &link{bytesPerSecond: regionBytes, delay: regionDelay}
	amman, irbid := f.ports.forward, f.ports.spare
	at := func(m *machine, port int) string { return m.ip + ":" + strconv.Itoa(port) }
	for _, m := range f.machines {
		from, to, direction := irbid, amman, 0
		if m.region == "irbid" {
			m.ports.forward = irbid
			from, to, direction = amman, irbid, 1
		}
		if err := region.carry(at(m, from), at(m, to), direction); err != nil {
			return false, err
		}
	}
	services := []string{"workshop", "booking"}
	first := []routeSpec{
		{"r-job", "/job/", "upload", "workshop", 1200 * time.Millisecond},
		{"r-view", "/view/", "safe", "booking", 2500 * time.Millisecond},
	}
	f.publish(5, services, first)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	f.say("%d consumers in irbid upload photos of %d bytes", photoCallers, photoBytes)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var answered, all atomic.Int32
	for n := range photoCallers {
		group.Go(func() {
			c := &caller{address: f.addressOf(f.machines[2+n%2])}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := &attempt{ID: newID(), Method: "POST", Host: host, Path: jobPath, Limit: 1200 * time.Millisecond, Body: photoBytes}
				c.do(a)
				all.Add(1)
				if a.Status == http.StatusOK {
					answered.Add(1)
				}
				f.say("upload %s", a.line(f.began))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for range silences {
		time.Sleep(betweenThem)
		f.say("uploads so far: %d of %d served", answered.Load(), all.Load())
		if trouble {
			f.say("the open connections between the regions go silent")
			region.silence()
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	f.say("the consumers of photos stop; %s", f.status(f.machines[0]))

	// Calm: longer than contact, then a new route, then longer than configuration_apply.
	time.Sleep(10 * time.Second)
	f.publish(9, services, append(first, routeSpec{"r-late", "/late/", "safe", "workshop", 2500 * time.Millisecond}))
	time.Sleep(4 * time.Second)
	broken := f.steady("/late/2f", "/view/2f", jobPath)
	w := f.machines[0]
	w.app.mu.Lock()
	running := w.app.running
	w.app.mu.Unlock()
	f.say("the target of workshop runs %d requests; its daemon is ready: %v; %s", running, w.ready(), f.status(w))
	return broken, nil
}

// status returns what a daemon tells its operators of its load.
func (f *fleet) status(m *machine) string {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + m.ip + ":" + strconv.Itoa(m.ports.admin) + "/v1/status")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("status of %s: %s", m.ip, strings.Join(strings.Fields(string(body)), " "))
}
