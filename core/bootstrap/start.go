package bootstrap

import "time"

const (
	// recentResponse is the age up to which the response of another daemon shows that it will soon hold
	// the state: it is running and reads the store itself.
	recentResponse = 200 * time.Millisecond
	// responseHold is the time for which such responses keep a daemon from reading the store itself. The
	// others may be unable to read it.
	responseHold = time.Second
)

// Start decides when a starting daemon reads the store itself instead of waiting for the state of
// another daemon. When a whole fleet starts, few reads suffice.
type Start struct {
	// Began is the time of the start, and Delay the time for which the daemon only asks others.
	Began time.Time
	Delay time.Duration
}

// MayRead reports whether the daemon reads the store now. lastResponse is the time at which another
// daemon has last responded without a state; zero if none has.
func (s Start) MayRead(now, lastResponse time.Time) bool {
	waited := now.Sub(s.Began)
	return waited >= s.Delay && (waited >= s.Delay+responseHold || now.Sub(lastResponse) >= recentResponse)
}
