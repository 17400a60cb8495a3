package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory limit of a machine of a small deployment.
	memoryMB = 284
	// contact is the time after which a calm machine is in touch.
	contact = 3 * time.Second
	// work is the usual time of a run of advance-status, response the size of its largest response in bytes.
	work     = 320 * time.Millisecond
	response = 30_000
)

// begin starts four machines of one service and waits until all are in touch.
func (s *site) begin() ([]*target, error) {
	for _, zone := range zones {
		s.add(zone, "ledger")
	}
	s.store.put("op/config", configuration(7, "ledger"))
	var targets []*target
	for _, m := range s.machines {
		t, err := newTarget(m, 18, s.record)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
		s.store.put("servers/"+m.id, m.entry(18))
	}
	for _, m := range s.machines {
		if err := m.configure(s.dir, s.store.listener.Addr().String(), s.seeds()); err != nil {
			return nil, err
		}
		if err := m.start(s.program); err != nil {
			return nil, err
		}
	}
	for _, m := range s.machines {
		if !m.awaitReady(10 * time.Second) {
			return nil, errors.New("a daemon is not ready")
		}
	}
	time.Sleep(contact)
	return targets, nil
}

// ran reports whether a target has begun to work on the request.
func ran(targets []*target, id string) bool {
	for _, t := range targets {
		if t.ran(id) > 0 {
			return true
		}
	}
	return false
}

// pipelinedStop stops one daemon in calm. The consumers on its machine keep two requests on their connections:
// each sends the next one when it has read a response. They read slowly, but steadily, and send nothing after
// "Connection: close", nor later than a second after the signal: the platform needs that long for two questions.
func pipelinedStop(s *site, trouble bool) (bool, error) {
	const (
		consumers = 6
		depth     = 2
		piece     = 1500
		pause     = 30 * time.Millisecond
		stopAt    = 4 * time.Second
		noticed   = time.Second
	)
	targets, err := s.begin()
	if err != nil {
		return false, err
	}
	m, last := s.machines[0], time.Now().Add(stopAt+noticed)
	var lost atomic.Int64
	var all sync.WaitGroup
	for n := range consumers {
		c, err := dialConsumer(n, m.caller, s.record)
		if err != nil {
			return false, err
		}
		all.Go(func() {
			defer func() { _ = c.Close() }()
			for _, id := range c.pipeline(depth, piece, pause, last) {
				if ran(targets, id) {
					lost.Add(1)
					s.record.say("LOST      %s: passed on to a target, and the connection ended without a complete answer", id)
				}
			}
		})
	}
	time.Sleep(stopAt)
	if trouble {
		s.record.say("SIGTERM to the daemon of machine 1")
		if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	all.Wait()
	s.record.say("lost requests: %d", lost.Load())
	return lost.Load() > 0, nil
}

// pipeline keeps so many requests on the connection until a time, or until the daemon closes it. It returns the
// IDs of the requests without a complete answer. Those behind a response that closes the connection count as
// not read.
func (c *consumer) pipeline(depth, piece int, pause time.Duration, last time.Time) []string {
	_ = c.SetDeadline(last.Add(timeLimit))
	for k := 0; ; k++ {
		for len(c.sent) < k+depth && time.Now().Before(last) {
			c.send()
		}
		if k >= len(c.sent) {
			return nil
		}
		closes, err := c.answer(c.sent[k], piece, pause)
		if err != nil {
			return c.sent[k:]
		}
		if closes {
			return nil
		}
	}
}

// answer reads the next response. closes is set if it closes the connection.
func (c *consumer) answer(id string, piece int, pause time.Duration) (closes bool, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.say("no answer %s: %v", id, err)
		return false, err
	}
	n, err := readSlowly(resp.Body, piece, pause)
	c.record.say("answer    %s: status %d, %d of %s bytes, closes %v, error %v", id, resp.StatusCode, n, resp.Header.Get("Content-Length"), resp.Close, err)
	if got := resp.Header.Get("X-Request-Id"); err == nil && got != id {
		return false, fmt.Errorf("the answer belongs to %q", got)
	}
	return resp.Close, err
}

// slowReaders are consumers on kept connections that stop for four seconds while they read their second
// response, and read the rest within their time limit.
func slowReaders(s *site, trouble bool) (bool, error) {
	const (
		consumers = 8
		allowed   = 3 // requests whose connections may be closed
		piece     = 2000
		stall     = 4 * time.Second
	)
	targets, err := s.begin()
	if err != nil {
		return false, err
	}
	var lost atomic.Int64
	var all sync.WaitGroup
	for n := range consumers {
		c, err := dialConsumer(n, s.machines[n%2].caller, s.record)
		if err != nil {
			return false, err
		}
		all.Go(func() {
			defer func() { _ = c.Close() }()
			for k := range 3 {
				_ = c.SetDeadline(time.Now().Add(timeLimit))
				c.send()
				id := c.sent[k]
				if k == 1 && trouble {
					s.record.say("waiting   %s: its consumer does not read for %v", id, stall)
					time.Sleep(stall)
				}
				if _, err := c.answer(id, piece, 0); err != nil {
					if ran(targets, id) {
						lost.Add(1)
						s.record.say("LOST      %s: passed on to a target, and the connection was closed without a complete answer", id)
					}
					return
				}
			}
		})
	}
	all.Wait()
	s.record.say("lost requests: %d", lost.Load())
	return lost.Load() > allowed, nil
}
