package quarantine

import "time"

// A blocked request is sent to no upstream, so that no answer can acquit it. The daemon that blocked it lets one request
// through now and then, which runs alone like a suspect: if it was blocked because upstreams crashed for another
// reason, the answer acquits it. Only that daemon does, so that the crashes in the fleet stay few. Only requests that may
// be repeated are tried.

const (
	// firstTrialDelay is the time from the block to the first trial. It is longer than an upstream usually takes to
	// be back.
	firstTrialDelay = 10 * time.Second
	// trialFactor is the factor by which the time to the next trial grows with each one: two trials fit into Term
	// if all crash their upstreams.
	trialFactor = 8
	// untriedDelay is the time to the next trial after one that reached no upstream.
	untriedDelay = time.Second
)

// trials are the trials of a blocked fingerprint.
type trials struct {
	due   time.Time
	delay time.Duration // to the next trial
}

// ownTrials makes this daemon decide about the trials of a fingerprint that it has blocked, unless it was blocked by the
// crash of a trial: those continue where they were decided. before is the entry before the block.
func (t *Table) ownTrials(now time.Time, f Fingerprint, before entry, run *Run) {
	e := t.entries[f]
	switch {
	case before.trials != nil:
		e.trials = before.trials
	case !run.trial:
		e.trials = &trials{due: now.Add(firstTrialDelay), delay: firstTrialDelay}
	}
	t.entries[f] = e
}

// TakeTrial returns the run of a request that may be repeated as a trial, for RecordLoss, if it is blocked and this daemon
// has a trial due. It is a trial of the narrowest fingerprint that is blocked, because a crash proves nothing about the wider
// ones. If a narrower one is a suspect, a crash blocks that one instead, so that the delay to the next trial stays.
func (t *Table) TakeTrial(now time.Time, fingerprints ...Fingerprint) (*Run, bool) {
	run := &Run{fingerprints: fingerprints, trial: true, lengthens: true}
	for _, f := range fingerprints {
		e, known := t.lookup(now, f)
		if !known || e.state != Blocked {
			run.lengthens = run.lengthens && (!known || e.state != Suspect)
			continue
		}
		if e.trials == nil || now.Before(e.trials.due) {
			return nil, false
		}
		run.tried = f
		if run.lengthens {
			e.trials.delay *= trialFactor
		}
		e.trials.due = now.Add(e.trials.delay)
		_, _ = t.watch(now, run) // a trial is allowed
		return run, true
	}
	return nil, false
}

// ReturnTrial records that a trial reached no upstream, so that another one may follow soon.
func (t *Table) ReturnTrial(now time.Time, run *Run) {
	e, known := t.lookup(now, run.tried)
	if !known || e.state != Blocked || e.trials == nil {
		return
	}
	if run.lengthens {
		e.trials.delay /= trialFactor
	}
	e.trials.due = now.Add(untriedDelay)
}

// StartTrial is Start for a trial that another daemon, or this one, has taken. It runs alone among suspects, also if this
// daemon does not know what is blocked.
func (t *Table) StartTrial(now time.Time, fingerprints ...Fingerprint) (*Run, Verdict) {
	return t.start(now, &Run{fingerprints: fingerprints, trial: true})
}
