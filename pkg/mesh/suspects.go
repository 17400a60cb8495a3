package mesh

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
)

// maxGossipEntries bounds the number of quarantine entries in a message between daemons.
const maxGossipEntries = 8

// suspects holds the quarantine table of requests that crash upstreams, and spreads its entries: as
// gossip on the messages between daemons, and by announcements of its own. It is safe for
// concurrent use.
type suspects struct {
	log *zap.Logger
	// news has a value while there are entries to announce.
	news chan struct{}

	mu         sync.Mutex
	table      *quarantine.Table
	gossiped   *quarantine.Gossip
	unreported []quarantine.Entry // entries to announce
}

// newSuspects returns an empty table of suspects.
func newSuspects(log *zap.Logger) *suspects {
	return &suspects{log: log, news: make(chan struct{}, 1), table: quarantine.NewTable(), gossiped: quarantine.NewGossip()}
}

// fingerprints returns the fingerprints of a job: with its query and, if it has one, without. They
// cover the whole body, and neither the daemon that took the request nor its ID and headers, which
// differ when a caller repeats a request.
func (j *Job) fingerprints() []quarantine.Fingerprint {
	path, _, hasQuery := strings.Cut(j.Target, "?")
	all := []quarantine.Fingerprint{quarantine.FingerprintOf(j.Service, j.Method, j.Host+j.Target, j.Body)}
	if hasQuery {
		all = append(all, quarantine.FingerprintOf(j.Service, j.Method, j.Host+path, j.Body))
	}
	return all
}

// start registers a run of the request with the ID and the fingerprints, if the verdict allows it.
func (s *suspects) start(now time.Time, id string, fingerprints []quarantine.Fingerprint) (*quarantine.Run, quarantine.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, verdict := s.table.Start(now, fingerprints...)
	label(run, id)
	return run, verdict
}

// startTrial is start for a trial.
func (s *suspects) startTrial(now time.Time, id string, fingerprints []quarantine.Fingerprint) (*quarantine.Run, quarantine.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, verdict := s.table.StartTrial(now, fingerprints...)
	label(run, id)
	return run, verdict
}

// label sets the label of a run to the ID of its request. The run is nil if it may not start.
func label(run *quarantine.Run, id string) {
	if run != nil {
		run.Label = id
	}
}

// markSent records that the upstream may begin a run.
func (s *suspects) markSent(run *quarantine.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.MarkSent()
}

// end removes a run. A suspect that the upstream answered is cleared, also if it is blocked.
func (s *suspects) end(now time.Time, run *quarantine.Run, outcome quarantine.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.table.End(now, run, outcome)
	s.publish(now, report)
	s.logReport(report)
}

// runOutcome returns what the result of a job says about a request that may crash its upstream.
func runOutcome(res *Result) quarantine.Outcome {
	switch {
	case res.Response != nil:
		return quarantine.Answered
	case res.Arrived && res.Refusal.Run != refusal.NotRun:
		return quarantine.Unanswered
	}
	return quarantine.NotBegun
}

// recordCrash records a crash of the upstream: the requests that were in flight, or ended without an
// answer within the given time before, become suspects or are blocked. evidence says for the log how
// the crash was noticed.
func (s *suspects) recordCrash(now time.Time, evidence string, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.table.RecordCrash(now, within)
	if len(report) == 0 {
		return
	}
	s.publish(now, report)
	s.log.Warn("upstream_crashed", zap.String("evidence", evidence), zap.Int("requests", len(report)))
	s.logReport(report)
}

// publish adds the entries of a report to the gossip and to the next announcement: they make daemons
// refuse requests, or hold them back, or cease to. The caller holds the mutex.
func (s *suspects) publish(now time.Time, report []quarantine.Entry) {
	s.gossiped.Add(now, report)
	for _, e := range report {
		if len(s.unreported) < maxAnnounced {
			s.unreported = append(s.unreported, e)
		}
	}
	if len(s.unreported) > 0 {
		select {
		case s.news <- struct{}{}:
		default: // the announcement that is due takes these entries too
		}
	}
}

// takeUnreported returns the entries to announce, and forgets them.
func (s *suspects) takeUnreported() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.unreported
	s.unreported = nil
	return out
}

// watch returns a run of a job on another daemon's upstream, and whether the job is blocked. The run
// is nil if there are neither suspected nor blocked requests, as is usual.
func (s *suspects) watch(now time.Time, j *Job) (*quarantine.Run, quarantine.Verdict) {
	s.mu.Lock()
	known := s.table.Len() > 0
	s.mu.Unlock()
	if !known {
		return nil, quarantine.Allowed
	}
	fingerprints := j.fingerprints()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Watch(now, fingerprints...)
}

// takeTrial returns the run of a blocked job that is sent nevertheless, to find out whether it still crashes upstreams; false
// if it is not.
func (s *suspects) takeTrial(now time.Time, j *Job) (*quarantine.Run, bool) {
	if !j.MayRepeat {
		return nil, false
	}
	fingerprints := j.fingerprints()
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok := s.table.TakeTrial(now, fingerprints...)
	if ok {
		s.log.Info("quarantine_trial", zap.String("request", j.ID), zap.String("fingerprint", formatFingerprint(fingerprints[0])))
	}
	return run, ok
}

// returnTrial records that a trial reached no upstream.
func (s *suspects) returnTrial(now time.Time, run *quarantine.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ReturnTrial(now, run)
}

// recordLoss records that the daemon beside an instance was lost while its upstream may have run a job
// that was watched.
func (s *suspects) recordLoss(now time.Time, j *Job, run *quarantine.Run) {
	fingerprints := j.fingerprints()
	s.mu.Lock()
	defer s.mu.Unlock()
	if run == nil {
		run = quarantine.NewRun(fingerprints...)
	}
	run.Label = j.ID
	report := s.table.RecordLoss(now, run, quarantine.OriginOf(string(j.Instance)))
	s.publish(now, report)
	s.logReport(report)
}

// logReport logs the requests that have become suspects, are blocked or are no longer blocked. The table bounds
// the number of these lines. The caller holds the mutex.
func (s *suspects) logReport(report []quarantine.Entry) {
	for _, e := range report {
		event := "request_suspected"
		switch e.State {
		case quarantine.Blocked:
			event = "request_convicted"
		case quarantine.Interrupted:
			continue // a single loss says little; request_ended has its line
		case quarantine.Acquitted:
			event = "request_acquitted"
		case quarantine.Cleared:
			continue // most were in flight in a crash by chance
		}
		s.log.Warn(event, zap.String("request", e.Label), zap.String("fingerprint", formatFingerprint(e.Fingerprint)))
	}
}

func formatFingerprint(f quarantine.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// blocked returns at most n blocked requests, those that have been blocked for longest first.
func (s *suspects) blocked(now time.Time, n int) []BlockedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []BlockedRequest{}
	for _, b := range s.table.Details(now, n) {
		out = append(out, BlockedRequest{
			Fingerprint: formatFingerprint(b.Fingerprint), SecondsBlocked: b.Since.Seconds(), Request: b.Label, SecondsToTrial: b.ToTrial.Seconds(),
		})
	}
	return out
}

// count returns the number of suspected and blocked requests, and of those that are blocked.
func (s *suspects) count() (all, blocked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len(), s.table.BlockedLen()
}

// gossip returns the entries for a message to a daemon that has last reported the digest known. They
// are those that other daemons may not have yet, and blocked fingerprints as long as the daemon's
// digest differs: it has started, or was cut off, since they were reported. The text is empty if
// there are none, as is usual.
func (s *suspects) gossip(now time.Time, known quarantine.Digest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.gossiped.Next(now, maxGossipEntries-1)
	digest := s.table.Digest()
	if digest != known {
		entries = append(s.table.Blocked(now, maxGossipEntries-1), entries...)
		entries = entries[:min(len(entries), maxGossipEntries-1)]
		digest = s.table.Digest()
	}
	if len(entries) == 0 && digest == 0 {
		return ""
	}
	return encodeEntries(entries, digest)
}

// mergeGossip merges the gossip of another daemon into the table, and returns the daemon's digest.
// What is new is passed on. Malformed entries are ignored.
func (s *suspects) mergeGossip(now time.Time, text string) quarantine.Digest {
	if text == "" {
		return 0
	}
	report, digest := decodeEntries(text, maxGossipEntries)
	s.merge(now, report)
	return digest
}

// merge merges the report of another daemon into the table and passes on what is new.
func (s *suspects) merge(now time.Time, report []quarantine.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(now, s.table.Merge(now, report))
}

// encodeEntries writes entries as comma-separated "fingerprint:state" pairs, and the digest as
// "#digest" unless it is 0. Behind the state stand the remaining seconds if they are fewer than
// quarantine.Term, or the origin of an interruption.
func encodeEntries(entries []quarantine.Entry, digest quarantine.Digest) string {
	var parts []string
	for _, e := range entries {
		part := strconv.FormatUint(uint64(e.Fingerprint), 16) + ":" + strconv.Itoa(int(e.State))
		if e.State == quarantine.Interrupted {
			part += ":" + strconv.FormatUint(uint64(e.Origin), 16)
		} else if e.RemainingMillis > 0 && e.RemainingMillis < (quarantine.Term-quarantine.GossipTerm).Milliseconds() {
			part += ":" + strconv.FormatInt(e.RemainingMillis/1000, 10)
		}
		parts = append(parts, part)
	}
	if digest != 0 {
		parts = append(parts, "#"+strconv.FormatUint(uint64(digest), 16))
	}
	return strings.Join(parts, ",")
}

// decodeEntries reads at most limit parts of what encodeEntries has written. Malformed parts are
// ignored.
func decodeEntries(text string, limit int) (entries []quarantine.Entry, digest quarantine.Digest) {
	for _, part := range strings.SplitN(text, ",", limit) {
		if hex, ok := strings.CutPrefix(part, "#"); ok {
			if n, err := strconv.ParseUint(hex, 16, 32); err == nil {
				digest = quarantine.Digest(n)
			}
			continue
		}
		if e, ok := decodeEntry(part); ok {
			entries = append(entries, e)
		}
	}
	return entries, digest
}

func decodeEntry(part string) (quarantine.Entry, bool) {
	fields := strings.Split(part, ":")
	if len(fields) < 2 || len(fields) > 3 {
		return quarantine.Entry{}, false
	}
	f, err1 := strconv.ParseUint(fields[0], 16, 64)
	n, err2 := strconv.ParseUint(fields[1], 10, 8)
	if err1 != nil || err2 != nil || n < uint64(quarantine.Suspect) || n > uint64(quarantine.Acquitted) {
		return quarantine.Entry{}, false
	}
	e := quarantine.Entry{Fingerprint: quarantine.Fingerprint(f), State: quarantine.State(n), RemainingMillis: quarantine.Term.Milliseconds()}
	switch {
	case e.State == quarantine.Interrupted && len(fields) < 3:
		return quarantine.Entry{}, false
	case e.State == quarantine.Interrupted:
		origin, err := strconv.ParseUint(fields[2], 16, 32)
		if err != nil {
			return quarantine.Entry{}, false
		}
		e.Origin = quarantine.Origin(origin)
	case len(fields) == 3:
		seconds, err := strconv.ParseUint(fields[2], 10, 16)
		if err != nil {
			return quarantine.Entry{}, false
		}
		e.RemainingMillis = min(e.RemainingMillis, int64(seconds)*1000)
	}
	return e, true
}
