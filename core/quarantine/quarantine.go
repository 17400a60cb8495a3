// Package quarantine contains requests that crash the upstreams that run them.
//
// After a crash every request that the upstream had begun is a suspect. A suspect runs only
// while no other suspect runs on the same upstream, so that a crash with a suspect in flight
// convicts that one. A convicted fingerprint is refused for Term. A suspect that completes is cleared.
//
// When reports reach the other daemons before the request is sent again, one deadly request
// causes two crashes in the fleet. Without any report it causes at most two on each instance.
// A crash report names all suspects of the crash, so that a daemon knows all of them or none.
//
// A second crash convicts only a fingerprint that ran as a suspect. Counting any two crashes
// would convict innocent requests that were sent again together with the deadly one to an
// instance that the report had not reached. When a second deadly request
// runs for the first time beside a suspect, the suspect is convicted in its place.
//
// The table takes the time as an argument and is not safe for concurrent use.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Term is the time for which a conviction and a suspicion hold.
	Term = 10 * time.Minute
	// MaxEntries bounds the table. The oldest suspects make room first, then the oldest convictions.
	MaxEntries = 4096
	// MaxBody is the number of bytes of a body that count for the fingerprint.
	MaxBody = 4 << 10
	// memory is the time for which a request whose connection broke counts as in flight: the
	// crash shows only at the next dial.
	memory = 2 * time.Second
)

// Fingerprint identifies equal requests.
type Fingerprint uint64

// Of returns the fingerprint of a request. Only the first MaxBody bytes of the body count.
func Of(service, method, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{service, method, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), MaxBody)])
	return Fingerprint(d.Sum64())
}

// State is what a daemon holds against a fingerprint.
type State uint8

// States of fingerprints. Cleared occurs in reports only.
const (
	Suspect State = iota + 1
	Convicted
	Cleared
)

// Entry is one line of a report.
type Entry struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	// RemainingMillis is the rest of the term; durations survive clocks that differ.
	RemainingMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Verdict is the decision about a request.
type Verdict uint8

// Verdicts. Busy and Refused say that the request has not run.
const (
	// Allowed lets the request run.
	Allowed Verdict = iota
	// Busy means that another suspect runs; the request may run later or elsewhere.
	Busy
	// Refused means that the fingerprint is convicted.
	Refused
)

type entry struct {
	state State
	until time.Time
}

// Run is a request in flight.
type Run struct {
	fingerprint Fingerprint
	suspect     bool
	exposed     bool
}

// Expose marks that bytes of the request were handed to the upstream.
func (r *Run) Expose() { r.exposed = true }

type broken struct {
	run *Run
	at  time.Time
}

// Table holds suspects and convictions, and the requests in flight on the local upstream.
type Table struct {
	entries  map[Fingerprint]entry
	inFlight map[*Run]struct{}
	broken   []broken
	suspects int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Fingerprint]entry{}, inFlight: map[*Run]struct{}{}}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Start decides about a request and registers it as in flight when it is Allowed.
func (t *Table) Start(now time.Time, f Fingerprint) (*Run, Verdict) {
	e, known := t.lookup(now, f)
	switch {
	case known && e.state == Convicted:
		return nil, Refused
	case known && t.suspects > 0:
		return nil, Busy
	}
	run := &Run{fingerprint: f, suspect: known}
	if known {
		t.suspects++
	}
	t.inFlight[run] = struct{}{}
	return run, Allowed
}

func (t *Table) lookup(now time.Time, f Fingerprint) (entry, bool) {
	e, ok := t.entries[f]
	if ok && !now.Before(e.until) {
		delete(t.entries, f)
		return entry{}, false
	}
	return e, ok
}

// End removes a request from flight. A completed suspect is cleared; the report tells the
// others. A failed one is kept for a moment, in case its failure was the first sign of a crash.
func (t *Table) End(now time.Time, run *Run, completed bool) []Entry {
	if _, ok := t.inFlight[run]; !ok {
		return nil
	}
	delete(t.inFlight, run)
	if run.suspect {
		t.suspects--
	}
	if !completed {
		t.forget(now)
		if run.exposed {
			t.broken = append(t.broken, broken{run, now})
		}
		return nil
	}
	if e, known := t.entries[run.fingerprint]; known && run.suspect && e.state == Suspect {
		delete(t.entries, run.fingerprint)
		return []Entry{{Fingerprint: run.fingerprint, State: Cleared}}
	}
	return nil
}

func (t *Table) forget(now time.Time) {
	t.broken = slices.DeleteFunc(t.broken, func(b broken) bool { return now.Sub(b.at) > memory })
}

// Crash judges the requests that the crashed upstream had begun and returns the report. Every
// request is judged for one crash only.
func (t *Table) Crash(now time.Time) []Entry {
	t.forget(now)
	var runs []*Run
	for run := range t.inFlight {
		if run.exposed {
			runs = append(runs, run)
		}
	}
	for _, b := range t.broken {
		runs = append(runs, b.run)
	}
	t.broken = nil
	var report []Entry
	for _, run := range runs {
		run.exposed = false
		if run.suspect {
			report = append(report, t.set(now, run.fingerprint, Convicted, Term))
		}
	}
	if len(report) > 0 {
		return report
	}
	for _, run := range runs {
		if _, known := t.lookup(now, run.fingerprint); !known {
			report = append(report, t.set(now, run.fingerprint, Suspect, Term))
		}
	}
	return report
}

func (t *Table) set(now time.Time, f Fingerprint, state State, term time.Duration) Entry {
	if _, known := t.entries[f]; !known && len(t.entries) >= MaxEntries {
		t.evict()
	}
	t.entries[f] = entry{state, now.Add(term)}
	return Entry{Fingerprint: f, State: state, RemainingMillis: term.Milliseconds()}
}

// evict removes the entry that ends first, a suspect if there is one.
func (t *Table) evict() {
	var victim Fingerprint
	var worst entry
	for f, e := range t.entries {
		if worst.state == 0 || e.state < worst.state || e.state == worst.state && e.until.Before(worst.until) {
			victim, worst = f, e
		}
	}
	delete(t.entries, victim)
}

// Merge takes the report of another daemon. A conviction stands against suspicions and
// clearances; terms are bounded by Term.
func (t *Table) Merge(now time.Time, report []Entry) {
	for _, r := range report {
		held, known := t.lookup(now, r.Fingerprint)
		term := min(Term, time.Duration(max(0, min(r.RemainingMillis, Term.Milliseconds())))*time.Millisecond)
		switch {
		case known && held.state == Convicted:
		case r.State == Cleared:
			delete(t.entries, r.Fingerprint)
		case (r.State == Suspect && !known || r.State == Convicted) && term > 0:
			t.set(now, r.Fingerprint, r.State, term)
		}
	}
}

// Snapshot returns all entries, for a daemon that starts.
func (t *Table) Snapshot(now time.Time) []Entry {
	out := make([]Entry, 0, len(t.entries))
	for f, e := range t.entries {
		if rest := e.until.Sub(now); rest > 0 {
			out = append(out, Entry{f, e.state, rest.Milliseconds()})
		}
	}
	return out
}
