package placement

// delayOfOthers returns what a request that waits at an instance costs those behind it, as a time in
// nanoseconds.
func (p *Placer) delayOfOthers(q Query, c Choice) float64 {
	if c.Wait <= FreeSlotWait {
		return 0
	}
	return (waitWeight-1)*float64(c.Wait) + waitPenalty*p.averages(q.Route).run
}
