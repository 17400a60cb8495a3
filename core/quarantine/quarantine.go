// Package quarantine limits how often a request can crash the upstreams that run it.
//
// After a crash, every request that the upstream had begun is a suspect. An upstream runs at
// most one suspect at a time, so that a second crash identifies it as the cause. Its
// fingerprint is then blocked: equal requests are refused for Term. Only an answer of an upstream
// clears a suspect.
//
// If crash reports reach the other daemons before the request is retried, a crashing request
// causes two crashes in the fleet. Without any reports it causes at most two on each instance.
// A crash report names all suspects of the crash, so that a daemon knows all of them or none.
//
// A request may have several fingerprints, from narrow to wide, so that it is recognised when it comes
// again in another form. All of them become suspects in a crash; those that harmless requests share are
// cleared by their answers. A second crash blocks only the narrowest one that both crashes have in common.
//
// A request that crashes upstreams is never answered. An answer therefore outweighs crashes, whenever
// and wherever it is given: fingerprints that were answered a moment before a crash, or between the
// crashes, are neither suspects nor blocked, and an answer to a run that began before the block, or to a
// trial, takes the block back on all daemons. Trials are the way back for a request that is not in
// flight anywhere; see trial.go.
//
// A second crash blocks only a fingerprint that was running as a suspect. Blocking every
// fingerprint seen in two crashes would block harmless requests that were retried together
// with the crashing one on an instance that the report had not reached. If a second crashing
// request runs for the first time beside a suspect, the suspect is blocked in its place.
//
// A request may end the daemon beside its upstream too, which then reports nothing. The daemon that
// sent the request knows that the other one was lost: the second loss makes the request a suspect.
//
// Table has no clock: callers pass the time. It is not safe for concurrent use.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Term is the time for which a fingerprint stays suspect or blocked.
	Term = 10 * time.Minute
	// MaxEntries is the maximum number of entries of a table. When it is full, the suspect that
	// expires first is evicted, or the blocked fingerprint that expires first if there are no
	// suspects.
	MaxEntries = 4096
	// MaxBody is the number of bytes of the request body that a caller has to pass to FingerprintOf
	// if it does not hold the whole body.
	MaxBody = 4 << 10
	// clearedTerm is the time for which reports do not make a cleared fingerprint a suspect again. It
	// is longer than such a report stays in messages.
	clearedTerm = GossipTerm + 10*time.Second
	// answeredTerm is the time for which an answer outweighs a crash that is recorded or reported after it. It is
	// longer than a report usually takes, and bounds the time for which a request that has begun to crash upstreams goes unnoticed.
	answeredTerm = 2 * time.Second
	// DetectionDelay is the time for which a request that was not answered still counts as in
	// flight if the upstream refuses connections: the crash may be detected only at the next attempt
	// to connect.
	DetectionDelay = 2 * time.Second
	// ReplacementDelay is that time if another instance turns up at the upstream's address: the store
	// lists it about a second after its start.
	ReplacementDelay = 5 * time.Second
	// maxBroken bounds the number of such requests.
	maxBroken = 1024
)

// Fingerprint is a hash that is the same for equal requests.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. It covers all of the body that is passed.
func FingerprintOf(service, method, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{service, method, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// State is the quarantine state of a fingerprint.
type State uint8

// States of fingerprints. Cleared occurs in reports only.
const (
	Suspect State = iota + 1
	Blocked
	Cleared
	// Interrupted means that the daemon beside an upstream was lost during a run, so that nobody
	// knows whether the upstream has crashed. After the loss of a second one it is a suspect.
	Interrupted
	// Acquitted means that an upstream has answered a blocked request. It occurs in reports only.
	Acquitted
)

// rank orders states by how long their entries are kept in a full table.
func (s State) rank() int {
	switch s {
	case Blocked:
		return 2
	case Suspect:
		return 1
	}
	return 0
}

// Entry is the state of one fingerprint in a report to other daemons.
type Entry struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	// RemainingMillis is the time until the entry expires. It is a duration because the clocks
	// of daemons differ.
	RemainingMillis int64 `cbor:"3,keyasint,omitempty"`
	// Origin names the instance whose daemon was lost, in state Interrupted.
	Origin Origin `cbor:"4,keyasint,omitempty"`
	// Label is that of the run, in reports of RecordCrash and RecordLoss. It is not encoded.
	Label string `cbor:"-"`
}

// Origin is a hash of an instance ID.
type Origin uint32

// OriginOf returns the hash of an instance ID.
func OriginOf(instance string) Origin { return Origin(xxhash.Sum64String(instance)) }

// Verdict is the decision whether a request may run.
type Verdict uint8

// Verdicts. The request does not run if the verdict is Busy or Refused.
const (
	// Allowed lets the request run.
	Allowed Verdict = iota
	// Busy means that the fingerprint of the request is in state Suspect, and that another
	// request with such a fingerprint is running on this upstream. The request may run later or
	// on another instance.
	Busy
	// Refused means that the fingerprint is blocked.
	Refused
)

// entry is the state of a fingerprint in the table until it expires.
type entry struct {
	state  State
	expiry time.Time
	origin Origin // in state Interrupted
	// trials is set in state Blocked if this daemon decides when the request is tried again, and label if it has
	// recorded the crash or loss: the label of the run.
	trials *trials
	label  string
}

// Outcome is what the end of a run says about its request.
type Outcome uint8

const (
	// Answered means that the upstream answered the request, so that the request does not crash it.
	Answered Outcome = iota
	// Unanswered means that the upstream may have begun the request and did not answer it: the
	// connection failed, the deadline passed, or the caller left.
	Unanswered
	// NotBegun means that the upstream has certainly not begun the request.
	NotBegun
)

// Run is a request in flight on the local upstream.
type Run struct {
	// Label names the run in reports; for example with the ID of the request.
	Label string

	fingerprints []Fingerprint
	// suspects are those fingerprints that were in state Suspect at the start of the run, or blocked
	// if the run is a trial.
	suspects []Fingerprint
	sent     bool
	// trial is set for a trial. tried is the fingerprint whose trial it is, and lengthens is set if the delay to the
	// next one has grown with it; both are set only where the trial was taken.
	trial, lengthens bool
	tried            Fingerprint
}

// NewRun returns a run of a request of which nothing was known when it was sent to another daemon.
func NewRun(fingerprints ...Fingerprint) *Run { return &Run{fingerprints: fingerprints} }

// alone reports whether the run is the only one of a suspect at the upstream.
func (r *Run) alone() bool { return len(r.suspects) > 0 || r.trial }

// MarkSent records that bytes of the request were sent to the upstream.
func (r *Run) MarkSent() { r.sent = true }

// broken is a request that failed at a time shortly before a crash may be detected.
type broken struct {
	run *Run
	at  time.Time
}

// Table holds the suspect and blocked fingerprints, and the requests in flight on the local
// upstream.
type Table struct {
	entries map[Fingerprint]entry
	// cleared are the fingerprints that were cleared a moment ago.
	cleared map[Fingerprint]clearing
	// answered holds the fingerprints that the local upstream has answered of late.
	answered answers
	// blocked is the number of blocked fingerprints, digest the exclusive or over them.
	blocked         int
	digest          Digest
	inFlight        map[*Run]struct{}
	broken          []broken
	runningSuspects int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Fingerprint]entry{}, cleared: map[Fingerprint]clearing{}, inFlight: map[*Run]struct{}{}}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// BlockedLen returns the number of blocked fingerprints.
func (t *Table) BlockedLen() int { return t.blocked }

// Start decides whether a request may run, and registers it as in flight if the verdict is Allowed.
// A request may have several fingerprints, from narrow to wide; the strictest state counts.
func (t *Table) Start(now time.Time, fingerprints ...Fingerprint) (*Run, Verdict) {
	return t.start(now, &Run{fingerprints: fingerprints})
}

// start starts a run whose fingerprints are set. A blocked fingerprint counts as a suspect in a trial.
func (t *Table) start(now time.Time, run *Run) (*Run, Verdict) {
	for _, f := range run.fingerprints {
		switch e, known := t.lookup(now, f); {
		case !known:
		case e.state == Blocked && !run.trial:
			return nil, Refused
		case e.state == Blocked || e.state == Suspect:
			run.suspects = append(run.suspects, f)
		}
	}
	if run.alone() {
		if t.runningSuspects > 0 {
			return nil, Busy
		}
		t.runningSuspects++
	}
	t.inFlight[run] = struct{}{}
	return run, Allowed
}

// lookup returns the entry of a fingerprint. An expired entry is removed and not returned.
func (t *Table) lookup(now time.Time, f Fingerprint) (entry, bool) {
	e, ok := t.entries[f]
	if ok && !now.Before(e.expiry) {
		t.remove(f)
		return entry{}, false
	}
	return e, ok
}

// remove removes an entry.
func (t *Table) remove(f Fingerprint) {
	if t.entries[f].state == Blocked {
		t.digest ^= digestOf(f)
		t.blocked--
	}
	delete(t.entries, f)
}

// End records that a request is no longer in flight. A suspect or blocked request that was answered is
// cleared, and the returned report clears it on the other daemons. A request without an answer is kept for a short
// time, because an upstream that crashed may be the reason.
func (t *Table) End(now time.Time, run *Run, outcome Outcome) []Entry {
	if _, ok := t.inFlight[run]; !ok {
		return nil
	}
	delete(t.inFlight, run)
	if run.alone() {
		t.runningSuspects--
	}
	switch outcome {
	case Unanswered:
		t.expireBroken(now)
		if run.sent && len(t.broken) < maxBroken {
			t.broken = append(t.broken, broken{run, now})
		}
	case Answered:
		report := t.clear(now, run)
		for i := range report {
			report[i].Label = run.Label
		}
		return report
	case NotBegun:
	}
	return nil
}

// clear removes the entries of the fingerprints of a request that was answered, and returns the report that
// clears them on the other daemons. A trial acquits, also if this daemon does not know what is blocked.
func (t *Table) clear(now time.Time, run *Run) []Entry {
	var report []Entry
	for _, f := range run.fingerprints {
		t.answered.add(now, f)
		if e, known := t.lookup(now, f); known || run.trial {
			report = append(report, t.acquit(now, f, run.trial || e.state == Blocked))
		}
	}
	return report
}

// acquit removes the entry of a fingerprint, which was blocked here or elsewhere or not, and returns the entry for a report.
func (t *Table) acquit(now time.Time, f Fingerprint, blocked bool) Entry {
	if blocked {
		t.setAcquitted(now, f)
		return Entry{Fingerprint: f, State: Acquitted}
	}
	t.setCleared(now, f)
	return Entry{Fingerprint: f, State: Cleared}
}

// expireBroken drops requests that have ended too long ago for any crash.
func (t *Table) expireBroken(now time.Time) {
	t.broken = slices.DeleteFunc(t.broken, func(b broken) bool { return now.Sub(b.at) > ReplacementDelay })
}

// RecordCrash records a crash of the local upstream and returns the report for the other daemons.
// Requests that ended without an answer within the given time count as in flight. If suspects were
// in flight, they are blocked; otherwise, all requests that the upstream had begun become suspects.
// Those that an answer outweighs are neither. Each request counts for one crash only.
func (t *Table) RecordCrash(now time.Time, within time.Duration) []Entry {
	t.expireBroken(now)
	var runs []*Run
	for run := range t.inFlight {
		if run.sent {
			runs = append(runs, run)
		}
	}
	for _, b := range t.broken {
		if now.Sub(b.at) <= within {
			runs = append(runs, b.run)
		}
	}
	t.broken = nil
	var report []Entry
	for _, run := range runs {
		run.sent = false
		report = append(report, t.convict(now, run)...)
	}
	if len(report) > 0 {
		return report
	}
	for _, run := range runs {
		for _, f := range run.fingerprints {
			if e, known := t.lookup(now, f); (!known || e.state == Interrupted) && !t.outweighed(now, f) {
				report = append(report, t.setFor(now, run, f, Suspect))
			}
		}
	}
	return report
}

// convict blocks the narrowest of the suspects with which a run began, unless an answer has cleared it since.
// The narrower fingerprints of the run become suspects.
func (t *Table) convict(now time.Time, run *Run) []Entry {
	for _, f := range run.suspects {
		e, known := t.lookup(now, f)
		if !known || e.state != Suspect && !run.trial || t.outweighed(now, f) {
			continue
		}
		var report []Entry
		for _, narrower := range run.fingerprints {
			if narrower == f {
				break
			}
			if _, known := t.lookup(now, narrower); !known && !t.outweighed(now, narrower) {
				report = append(report, t.setFor(now, run, narrower, Suspect))
			}
		}
		report = append(report, t.setFor(now, run, f, Blocked))
		t.ownTrials(now, f, e, run)
		return report
	}
	return nil
}

// outweighed reports whether equal requests were answered so shortly before that the fingerprint does not stand for
// requests that crash upstreams.
func (t *Table) outweighed(now time.Time, f Fingerprint) bool {
	return t.answered.has(now, f) || now.Before(t.cleared[f].since.Add(answeredTerm))
}

// setCleared removes a suspect. Reports that were sent before do not make it a suspect again.
func (t *Table) setCleared(now time.Time, f Fingerprint) { t.removeCleared(now, f, false) }

// setAcquitted removes an entry. Reports that were sent before do not block it again either.
func (t *Table) setAcquitted(now time.Time, f Fingerprint) { t.removeCleared(now, f, true) }

func (t *Table) removeCleared(now time.Time, f Fingerprint, acquitted bool) {
	t.remove(f)
	if len(t.cleared) >= MaxEntries {
		clear(t.cleared)
	}
	t.cleared[f] = clearing{since: now, acquitted: acquitted}
}

// set stores the state of a fingerprint for the given term and returns the entry for a report.
func (t *Table) set(now time.Time, f Fingerprint, state State, term time.Duration) Entry {
	if _, known := t.entries[f]; !known && len(t.entries) >= MaxEntries {
		t.evict()
	}
	t.remove(f)
	delete(t.cleared, f)
	t.entries[f] = entry{state: state, expiry: now.Add(term)}
	if state == Blocked {
		t.digest ^= digestOf(f)
		t.blocked++
	}
	return Entry{Fingerprint: f, State: state, RemainingMillis: term.Milliseconds()}
}

// Watch returns a run of a request on another daemon's upstream, for RecordLoss, and whether the
// request is blocked.
func (t *Table) Watch(now time.Time, fingerprints ...Fingerprint) (*Run, Verdict) {
	return t.watch(now, &Run{fingerprints: fingerprints})
}

// watch is Watch for a run whose fingerprints are set.
func (t *Table) watch(now time.Time, run *Run) (*Run, Verdict) {
	for _, f := range run.fingerprints {
		switch e, known := t.lookup(now, f); {
		case known && e.state == Blocked && !run.trial:
			return nil, Refused
		case known && (e.state == Blocked || e.state == Suspect):
			run.suspects = append(run.suspects, f)
		}
	}
	return run, Allowed
}

// RecordLoss records that the daemon beside an upstream was lost while the upstream may have run a
// request that was watched, and returns the report for the other daemons. The daemon may have ended
// together with the upstream or its host, so that it cannot report a crash. The loss of a second
// instance makes the request a suspect, and the loss under a suspect blocks it, unless an answer outweighs it.
func (t *Table) RecordLoss(now time.Time, run *Run, origin Origin) []Entry {
	report := t.convict(now, run)
	if len(report) > 0 {
		return report
	}
	for _, f := range run.fingerprints {
		e, known := t.lookup(now, f)
		switch {
		case known && e.state == Blocked:
		case t.outweighed(now, f):
		case !known:
			report = append(report, t.interrupt(now, f, origin))
		case e.state == Interrupted && e.origin != origin:
			report = append(report, t.setFor(now, run, f, Suspect))
		}
	}
	return report
}

// interrupt stores the first loss of a daemon under a request.
func (t *Table) interrupt(now time.Time, f Fingerprint, origin Origin) Entry {
	out := t.set(now, f, Interrupted, Term)
	e := t.entries[f]
	e.origin, out.Origin = origin, origin
	t.entries[f] = e
	return out
}

// setFor stores the state of a fingerprint of a run.
func (t *Table) setFor(now time.Time, run *Run, f Fingerprint, state State) Entry {
	report := t.set(now, f, state, Term)
	e := t.entries[f]
	e.label, report.Label = run.Label, run.Label
	t.entries[f] = e
	return report
}

// evict removes the suspect that expires first, or the blocked fingerprint that expires first if
// there are no suspects.
func (t *Table) evict() {
	var victim Fingerprint
	var evicted entry
	for f, e := range t.entries {
		if evicted.state == 0 || e.state.rank() < evicted.state.rank() || e.state.rank() == evicted.state.rank() && e.expiry.Before(evicted.expiry) {
			victim, evicted = f, e
		}
	}
	t.remove(victim)
}
