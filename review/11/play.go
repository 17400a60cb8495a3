package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// play stops one daemon in calm. The consumers on its machine keep two requests on their connections:
// each sends the next one when it has read a response. They read slowly, but steadily, and send nothing after
// "Connection: close", nor later than a second after the signal: the platform needs that long for two questions.
func play(s *site, trouble bool) (bool, error) {
	const (
		consumers = 6
		depth     = 2
		piece     = 1500
		pause     = 30 * time.Millisecond
		stopAt    = 4 * time.Second
		noticed   = time.Second
		service   = "ledger"
	)
	for _, zone := range [...]string{"amman-a", "irbid-a", "amman-b", "irbid-b"} {
		s.add(zone, service, targetKind{slots: 18, work: 320 * time.Millisecond, response: 30_000})
	}
	s.store.put("op/config", configuration(7, route{"r-1", "/status/", service, 4 * time.Second, 1200 * time.Millisecond}))
	if err := s.start(); err != nil {
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
				if s.ran(id) {
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
