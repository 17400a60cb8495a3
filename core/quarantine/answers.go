package quarantine

import "time"

// answers are the fingerprints that were answered within the last answeredTerm, and some older ones.
type answers struct {
	recent, older map[Fingerprint]time.Time
	began         time.Time // of recent
}

// add records an answer. If there are too many, the oldest ones are forgotten.
func (a *answers) add(now time.Time, f Fingerprint) {
	if a.recent == nil || now.Sub(a.began) >= answeredTerm || len(a.recent) >= MaxEntries {
		a.older, a.recent, a.began = a.recent, make(map[Fingerprint]time.Time), now
	}
	a.recent[f] = now
}

// has reports whether a fingerprint was answered within the last answeredTerm.
func (a *answers) has(now time.Time, f Fingerprint) bool {
	at, ok := a.recent[f]
	if !ok {
		at, ok = a.older[f]
	}
	return ok && now.Sub(at) <= answeredTerm
}

// clearing is the time at which a fingerprint was cleared, and whether it had been blocked.
type clearing struct {
	since     time.Time
	acquitted bool
}

// wasCleared reports whether a fingerprint was cleared so shortly before that reports of its suspicion may
// still be on their way.
func (t *Table) wasCleared(now time.Time, f Fingerprint) bool {
	c, ok := t.cleared[f]
	return ok && now.Before(c.since.Add(clearedTerm))
}

// wasAcquitted reports whether a fingerprint was acquitted so shortly before that reports of its block may still be
// on their way.
func (t *Table) wasAcquitted(now time.Time, f Fingerprint) bool {
	return t.wasCleared(now, f) && t.cleared[f].acquitted
}

// clearUnlessAcquitted clears a fingerprint by a report, unless it was acquitted: that has effect on more reports.
func (t *Table) clearUnlessAcquitted(now time.Time, f Fingerprint) {
	if !t.wasAcquitted(now, f) {
		t.setCleared(now, f)
	}
}
