package mesh

import (
	"sync"
	"time"
)

// declinedRest is the time for which a daemon that has declined to read for others is not asked
// again: whether it reads follows from its settings.
const declinedRest = 5 * time.Minute

// declines tells others which daemons decline, with the time in milliseconds for which that holds.
type declines map[string]int64

// decliners holds the daemons that do not read for others: those that have declined or said so when
// they asked, and those that other daemons know. What is told further keeps its end, so that
// daemons do not confirm each other what has passed. The zero value is empty; it is safe for
// concurrent use.
type decliners struct {
	mu   sync.Mutex
	held map[string]decliner
	// last is the number of the last change.
	last uint64
}

// decliner is what is known of one daemon.
type decliner struct {
	until  time.Time
	number uint64 // of the change
}

// note takes that a daemon declines, for a time of at most declinedRest. What adds less than half
// of declinedRest to what is known is no news.
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

// hear takes what another daemon knows about daemons of a list.
func (d *decliners) hear(now time.Time, told declines, list []string) {
	for _, address := range list {
		if ms, ok := told[address]; ok {
			d.note(now, address, time.Duration(ms)*time.Millisecond)
		}
	}
}

// has reports whether a daemon declines.
func (d *decliners) has(now time.Time, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.held[address].until)
}

// since returns what is new after a change, nil if nothing is, and the number of the last change.
// It forgets what has passed.
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
