package mesh

import (
	"sync"
	"time"
)

// declineTTL is the time for which a daemon is not asked again after it has declined to read for
// others. It is long because whether a daemon declines depends only on its settings.
const declineTTL = 5 * time.Minute

// declinedTTLs lists daemons that decline, by address, with the remaining time in milliseconds for
// which not to ask them. Daemons exchange it.
type declinedTTLs map[string]int64

// declinedPeers holds the daemons that do not read the store for others: those that have declined a
// request, those that have said so in a request of their own, and those reported by other daemons.
// A report is passed on with its remaining time, so that daemons do not extend an outdated report
// by repeating it to each other. The zero value is empty. It is safe for concurrent use.
type declinedPeers struct {
	mu      sync.Mutex
	records map[string]declineRecord
	// lastSeq is the sequence number of the last change.
	lastSeq uint64
}

// declineRecord is the record of one daemon.
type declineRecord struct {
	expiresAt time.Time
	seq       uint64 // sequence number of the change
}

// record records that a daemon declines, for a time of at most declineTTL. It ignores a report that
// extends an unexpired record by less than half of declineTTL.
func (d *declinedPeers) record(now time.Time, address string, ttl time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	expiresAt, known := now.Add(min(ttl, declineTTL)), d.records[address].expiresAt
	if !expiresAt.After(now) || now.Before(known) && expiresAt.Sub(known) < declineTTL/2 {
		return
	}
	if d.records == nil {
		d.records = make(map[string]declineRecord)
	}
	d.lastSeq++
	d.records[address] = declineRecord{expiresAt, d.lastSeq}
}

// merge merges the list of another daemon, as far as it concerns the given addresses.
func (d *declinedPeers) merge(now time.Time, reported declinedTTLs, addresses []string) {
	for _, address := range addresses {
		if ms, ok := reported[address]; ok {
			d.record(now, address, time.Duration(ms)*time.Millisecond)
		}
	}
}

// contains reports whether a daemon is known to decline.
func (d *declinedPeers) contains(now time.Time, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.records[address].expiresAt)
}

// changedSince returns the records changed after the given sequence number, or nil if there are
// none, and the sequence number of the last change. It deletes expired records.
func (d *declinedPeers) changedSince(now time.Time, after uint64) (declinedTTLs, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if after == d.lastSeq {
		return nil, after
	}
	changed := make(declinedTTLs)
	for address, known := range d.records {
		switch remaining := known.expiresAt.Sub(now); {
		case remaining <= 0:
			delete(d.records, address)
		case known.seq > after:
			changed[address] = remaining.Milliseconds()
		}
	}
	return changed, d.lastSeq
}
