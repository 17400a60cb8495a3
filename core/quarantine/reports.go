package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Merge applies the report of another daemon and returns the entries that the others should have: those
// that changed the table, and those that contradict the report, because an answer outweighs it. Only an
// acquittal ends a block. Remaining times are capped at Term.
func (t *Table) Merge(now time.Time, report []Entry) (changed []Entry) {
	for _, r := range report {
		current, known := t.lookup(now, r.Fingerprint)
		term := min(Term, time.Duration(max(0, min(r.RemainingMillis, Term.Milliseconds())))*time.Millisecond)
		switch {
		case r.State == Acquitted:
			if known {
				changed = append(changed, r)
			}
			t.setAcquitted(now, r.Fingerprint)
		case known && current.state == Blocked:
		case r.State == Cleared:
			if known {
				changed = append(changed, r)
			}
			t.clearUnlessAcquitted(now, r.Fingerprint)
		case term <= 0 && r.State != Interrupted:
		case r.State == Blocked && t.wasAcquitted(now, r.Fingerprint):
			changed = append(changed, Entry{Fingerprint: r.Fingerprint, State: Acquitted})
		case r.State == Blocked && t.outweighed(now, r.Fingerprint):
			changed = append(changed, t.acquit(now, r.Fingerprint, true))
		case known && current.state == Suspect && r.State != Blocked, r.State != Blocked && t.wasCleared(now, r.Fingerprint):
		case r.State != Blocked && t.answered.has(now, r.Fingerprint):
			changed = append(changed, t.acquit(now, r.Fingerprint, false))
		case r.State == Interrupted && !known && term > 0:
			changed = append(changed, t.interrupt(now, r.Fingerprint, r.Origin))
		case r.State == Interrupted && known && current.origin != r.Origin:
			changed = append(changed, t.set(now, r.Fingerprint, Suspect, Term))
		case (r.State == Suspect || r.State == Blocked) && term > 0:
			changed = append(changed, t.set(now, r.Fingerprint, r.State, term))
		}
	}
	return changed
}

// Verdict returns whether a request with the fingerprints is blocked.
func (t *Table) Verdict(now time.Time, fingerprints ...Fingerprint) Verdict {
	for _, f := range fingerprints {
		if e, known := t.lookup(now, f); known && e.state == Blocked {
			return Refused
		}
	}
	return Allowed
}

// Digest is equal for daemons that block the same fingerprints, and 0 for those that block none.
type Digest uint32

func digestOf(f Fingerprint) Digest { return Digest(f) ^ Digest(f>>32) }

// Digest returns the digest of the blocked fingerprints.
func (t *Table) Digest() Digest { return t.digest }

// Blocked returns at most n blocked fingerprints, in no order, for a daemon whose digest differs.
// Those that have expired are removed.
func (t *Table) Blocked(now time.Time, n int) []Entry {
	var out []Entry
	for f, e := range t.entries {
		switch remaining := e.expiry.Sub(now); {
		case remaining <= 0:
			t.remove(f)
		case e.state == Blocked && len(out) < n:
			out = append(out, Entry{Fingerprint: f, State: e.state, RemainingMillis: remaining.Milliseconds()})
		}
	}
	return out
}

// Detail describes a blocked fingerprint to operators.
type Detail struct {
	Fingerprint Fingerprint
	// Since is the time for which it has been blocked.
	Since time.Duration
	// Label is that of the run whose crash has blocked it, empty if another daemon has reported that.
	Label string
	// ToTrial is the time until the next trial, 0 if another daemon decides about it.
	ToTrial time.Duration
}

// Details returns at most n blocked fingerprints, those that have been blocked for longest first.
func (t *Table) Details(now time.Time, n int) []Detail {
	var out []Detail
	for f, e := range t.entries {
		remaining := e.expiry.Sub(now)
		if e.state != Blocked || remaining <= 0 {
			continue
		}
		d := Detail{Fingerprint: f, Since: Term - remaining, Label: e.label}
		if e.trials != nil {
			d.ToTrial = max(time.Millisecond, e.trials.due.Sub(now))
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Detail) int {
		return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), n)]
}

// Snapshot returns all entries that have not expired, for a daemon that starts.
func (t *Table) Snapshot(now time.Time) []Entry {
	out := make([]Entry, 0, len(t.entries))
	for f, e := range t.entries {
		if remaining := e.expiry.Sub(now); remaining > 0 {
			out = append(out, Entry{Fingerprint: f, State: e.state, RemainingMillis: remaining.Milliseconds()})
		}
	}
	return out
}
