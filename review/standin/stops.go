package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case "stops": a rolling restart stops the daemon beside a target and, a second later, the daemon of
// the consumers. Requests that may not be repeated come meanwhile, some of which take long.
const (
	grace     = 6 * time.Second
	rollGap   = time.Second
	bookLimit = 4 * time.Second
	usualRun  = 580 * time.Millisecond  // 290 ms of work at a target of half speed
	longRun   = 3400 * time.Millisecond // 1,700 ms of work, the longest, there
	slowPath  = "/book/long"
	// sentAfter is the time from the first SIGTERM to the requests.
	sentAfter = 2200 * time.Millisecond
	stopTries = 4
)

func caseStops(record *os.File, trouble bool) (bool, error) {
	work := func(r *http.Request) time.Duration {
		if r.URL.Path == slowPath {
			return longRun
		}
		return usualRun
	}
	f, err := newFleet(record, []member{
		{ip: "127.0.0.11", service: "workshop", zone: "amman-a", work: work},
		{ip: "127.0.0.12", service: "booking", zone: "amman-b", work: work},
		{ip: "127.0.0.13", service: "workshop", zone: "irbid-a", work: work},
	})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	f.publish(5, []string{"workshop", "booking"}, []routeSpec{{"r-book", "/book/", "unsafe", "booking", bookLimit}})
	if err := f.startAll(); err != nil {
		return false, err
	}
	entry, runner := f.machines[0], f.machines[1]
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			c := &caller{address: f.addressOf(entry)}
			defer c.close()
			for range 10 {
				a := &attempt{ID: newID(), Method: "POST", Host: host, Path: "/book/2f", Limit: bookLimit, Body: 600}
				c.do(a)
				f.say("usual %s", a.line(f.began))
			}
		})
	}
	group.Wait()

	stop := func(m *machine) {
		if !trouble {
			return
		}
		f.say("machine %s: SIGTERM", m.ip)
		m.signal(syscall.SIGTERM)
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		group.Go(func() {
			select {
			case <-ended:
				f.say("machine %s: the process has ended; it is started again", m.ip)
			case <-time.After(grace):
				f.say("machine %s: SIGKILL", m.ip)
				m.kill()
			}
			time.Sleep(500 * time.Millisecond)
			if err := m.start(); err != nil {
				f.say("machine %s: not started again: %v", m.ip, err)
			}
		})
	}
	first := time.Now()
	stop(runner)
	time.Sleep(rollGap)
	second := time.Now()
	stop(entry)
	time.Sleep(time.Until(first.Add(sentAfter)))
	attempts := make([]*attempt, stopTries)
	for i := range attempts {
		a := &attempt{ID: newID(), Method: "POST", Host: host, Path: slowPath, Limit: bookLimit, Body: 600}
		attempts[i] = a
		group.Go(func() {
			c := &caller{address: f.addressOf(entry)}
			defer c.close()
			c.do(a)
			f.say("long %s", a.line(f.began))
		})
	}
	group.Wait()
	broken := false
	for _, a := range attempts {
		for _, r := range f.find(a.ID) {
			f.say("%s: run at %s from %.3f to %.3f, status %d", a.ID, r.Target, r.Began.Sub(f.began).Seconds(), r.Ended.Sub(f.began).Seconds(), r.Status)
			if f.brokenOff(a, r, second) {
				broken = true
				f.say("%s: broken off %.1f s after SIGTERM of its machine while its target was at work", a.ID, a.Done.Sub(second).Seconds())
			}
		}
	}
	return broken, nil
}

// brokenOff reports whether an attempt ended, after SIGTERM of the machine that took it, with no answer
// or one of the system's own while its target was at work, and none of the rule's excuses holds.
func (f *fleet) brokenOff(a *attempt, r *run, sigterm time.Time) bool {
	ownAnswer := a.Status == 0 && strings.HasPrefix(a.Err, "answer") || a.Status >= http.StatusInternalServerError && a.Seal == ""
	atWork := r.Status == 0 && r.Ended.After(a.Done.Add(-500*time.Millisecond))
	after := a.Done.Sub(sigterm)
	planned := after > 0 && after < grace+time.Second
	limitReached := a.Done.Sub(a.Began) >= bookLimit-50*time.Millisecond
	lastSixth := after >= grace*5/6 && a.Sent.Sub(sigterm) <= 3*time.Second
	return ownAnswer && atWork && planned && !limitReached && !lastSixth
}
