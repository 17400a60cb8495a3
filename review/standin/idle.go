package main

import (
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Case "idle": consumers open a connection for a request each and leave it open, idle, as the
// configuration's idle_timeout of 15 s allows. A daemon that closes it after that time has some 1,100
// open, a quarter of its descriptors.
const (
	descriptors = 4100
	freshPerSec = 75
	idlePlay    = 72 * time.Second
	contact     = 3 * time.Second
)

func caseIdle(record *os.File, trouble bool) (bool, error) {
	work := func(*http.Request) time.Duration { return 60 * time.Millisecond }
	f, err := newFleet(record, []member{
		{ip: "127.0.0.11", service: "booking", zone: "amman-a", work: work},
		{ip: "127.0.0.12", service: "booking", zone: "amman-b", work: work},
		{ip: "127.0.0.13", service: "booking", zone: "irbid-a", work: work},
	})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	for _, m := range f.machines {
		m.descriptors = descriptors
	}
	f.publish(5, []string{"booking"}, []routeSpec{{"r-view", "/view/", "safe", "booking", 2500 * time.Millisecond}})
	if err := f.startAll(); err != nil {
		return false, err
	}
	entry := f.machines[0]
	var readyMu sync.Mutex
	ready := map[int]bool{} // by second
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		client := http.Client{Timeout: time.Second}
		url := "http://" + entry.ip + ":" + strconv.Itoa(entry.ports.ready) + "/mangoshed/readiness"
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			resp, err := client.Get(url)
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			readyMu.Lock()
			ready[int(time.Since(f.began).Seconds())] = ok
			readyMu.Unlock()
		}
	})
	var open, answered, unanswered atomic.Int32
	var mu sync.Mutex
	var tries []*attempt
	ticker := time.NewTicker(time.Second / freshPerSec)
	defer ticker.Stop()
	began := time.Now()
	for lastLine := began; time.Since(began) < idlePlay; {
		<-ticker.C
		group.Go(func() {
			c := &caller{address: f.addressOf(entry)}
			defer c.close()
			open.Add(1)
			defer open.Add(-1)
			a := &attempt{ID: newID(), Method: "GET", Host: host, Path: "/view/2f", Limit: 2500 * time.Millisecond}
			c.do(a)
			mu.Lock()
			tries = append(tries, a)
			mu.Unlock()
			if a.Status != 0 {
				answered.Add(1)
			} else {
				unanswered.Add(1)
			}
			if !trouble {
				return
			}
			// Leaves the connection to the daemon.
			one := make([]byte, 1)
			if c.conn != nil {
				_ = c.conn.SetReadDeadline(time.Now().Add(time.Until(began.Add(idlePlay))))
				_, _ = c.conn.Read(one)
			}
		})
		if time.Since(lastLine) > time.Second {
			lastLine = time.Now()
			f.say("open connections of consumers: %d; answered %d, unanswered %d", open.Load(), answered.Load(), unanswered.Load())
		}
	}
	close(stop)
	group.Wait()
	f.say("answered %d, unanswered %d", answered.Load(), unanswered.Load())
	return f.blind(began, tries, ready), nil
}

// blind reports whether the machine said that it was ready, and answered none of the attempts on new
// connections that began in some span of contact.
func (f *fleet) blind(began time.Time, tries []*attempt, ready map[int]bool) bool {
	const minTries = 7
	broken := false
	for from := began; from.Before(began.Add(idlePlay - contact)); from = from.Add(contact) {
		all, answered, says := 0, 0, true
		for _, a := range tries {
			if a.Began.Before(from) || !a.Began.Before(from.Add(contact)) {
				continue
			}
			all++
			if a.Status != 0 {
				answered++
			}
		}
		for second := from; !second.After(from.Add(contact)); second = second.Add(time.Second) {
			says = says && ready[int(second.Sub(f.began).Seconds())]
		}
		if all >= minTries && answered == 0 && says {
			broken = true
			f.say("from %.1f s on, for %v: ready, and none of %d attempts on new connections was answered", from.Sub(f.began).Seconds(), contact, all)
		}
	}
	return broken
}
