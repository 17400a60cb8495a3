package mesh

import (
	"sync"
	"time"
)

// declinedRest is the time for which a daemon is not asked again after it has declined to read for
// others. It is long because whether a daemon declines depends only on its settings.
const declinedRest = 5 * time.Minute

// declines lists daemons that decline, by address, with the remaining time in milliseconds for
// which not to ask them. Daemons exchange it.
type declines map[string]int64

// decliners holds the daemons that do not read the store for others: those that have declined a
// request, those that have said so in a request of their own, and those reported by other daemons.
// A report is passed on with its remaining time, so that daemons do not extend an outdated report
// by repeating it to each other. The zero value is empty. It is safe for concurrent use.
type decliners struct {
	mu   sync.Mutex
	held map[string]decliner
	// last is the sequence number of the last change.
	last uint64
}

// decliner is the record of one daemon.
type decliner struct {
	until  time.Time
	number uint64 // sequence number of the change
}

// note records that a daemon declines, for a time of at most declinedRest. It ignores a report that
// extends an unexpired record by less than half of declinedRest.
func (d *decliners) note(now time.Time, address string, rest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, known := now.Add(min(rest, declinedRest)), d.held[address].until
	if !until.After(now) || now.Before(known) && until.Sub(known) < declinedRest/2 {
		return
	}
	if d.held == nil {
		d.held = make(map[string]decliner)
	}
	d.last++
	d.held[address] = decliner{until, d.last}
}

// hear merges the list of another daemon, as far as it concerns the given addresses.
func (d *decliners) hear(now time.Time, told declines, list []string) {
	for _, address := range list {
		if ms, ok := told[address]; ok {
			d.note(now, address, time.Duration(ms)*time.Millisecond)
		}
	}
}

// has reports whether a daemon is known to decline.
func (d *decliners) has(now time.Time, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.held[address].until)
}

// since returns the records changed after the given sequence number, or nil if there are none, and
// the sequence number of the last change. It deletes expired records.
func (d *decliners) since(now time.Time, number uint64) (declines, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number == d.last {
		return nil, number
	}
	news := make(declines)
	for address, known := range d.held {
		switch left := known.until.Sub(now); {
		case left <= 0:
			delete(d.held, address)
		case known.number > number:
			news[address] = left.Milliseconds()
		}
	}
	return news, d.last
}
