package main

import (
	"fmt"
	"time"
)

// play has two of the five targets crash, one after the other. The consumers of the added route all ask for the same
// page.
func play(s *site, trouble bool) (bool, error) {
	const (
		every = 350 * time.Millisecond
		// Runs are on their way at the first crash, and the next requests are sent shortly after it.
		crashAt = 8*every + 280*time.Millisecond
		gap     = 600 * time.Millisecond
	)
	path := func(prefix string, machine, k int) string {
		if prefix == "/board/" {
			return prefix + "today"
		}
		return fmt.Sprintf("%s%d-%d", prefix, machine, k)
	}
	onFirst, onAdded, err := s.sendOnTwoRoutes(every, crashAt, path, func() {
		if !trouble {
			return
		}
		s.targets[0].crash()
		time.Sleep(gap)
		s.targets[3].crash()
	})
	if err != nil {
		return false, err
	}
	return onAdded.sent >= fewest && onAdded.share() < onFirst.share()/4, nil
}
