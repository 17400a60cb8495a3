package placement

import "mangoshed.example/mangoshed/core/intake"

// updatePace records a pace of the instance's host, unless a later one is known: results may arrive in
// another order than they were sent.
func (s *instanceStats) updatePace(pace intake.HostPace) {
	if pace.Factor > 0 && pace.At.After(s.pace.At) {
		s.pace = pace
	}
}
