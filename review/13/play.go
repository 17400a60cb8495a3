package main

import (
	"fmt"
	"time"
)

// play sends one request that crashes each target that begins to run it, and sends it again, as its consumers do. All
// other requests of the route have the same path and a query of their own, and harm nobody.
func play(s *site, trouble bool) (bool, error) {
	const (
		harmful = "filter=bad"
		times   = 5
		pause   = 200 * time.Millisecond
		// All runs have ended when the harmful request is sent: the longest takes 1,260 ms.
		every  = 2 * time.Second
		sendAt = 4*every + 1600*time.Millisecond
	)
	path := func(prefix string, machine, k int) string {
		return fmt.Sprintf("%slist?filter=%d-%d", prefix, machine, k)
	}
	onFirst, onAdded, err := s.sendOnTwoRoutes(every, sendAt, path, func() {
		if !trouble {
			return
		}
		for _, t := range s.targets {
			t.crashOn(harmful)
		}
		for k := range times {
			s.ask(s.machines[(k+1)%len(s.machines)], fmt.Sprintf("bad%013x", k+1), "/board/list?"+harmful)
			time.Sleep(pause)
		}
	})
	if err != nil {
		return false, err
	}
	return onAdded.sent >= fewest && onAdded.share() < onFirst.share()/4, nil
}
