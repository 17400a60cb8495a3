package dissemination

import (
	"crypto/sha256"
	"errors"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

const (
	// lazyDelay is the time that the eager parent has before a version is pulled from a
	// parent that has adverted it.
	lazyDelay = 250 * time.Millisecond
	// pullTimeout is the time after which an unanswered pull may be repeated.
	pullTimeout = time.Second
	// maxComplete bounds a complete version in transit.
	maxComplete = snapshot.MaxVersionBytes
)

func (c *Core) heldMark() mark { return markOf(c.history.held()) }

// adopt puts a validated snapshot into effect if it is newer than the one held, and
// forwards it. from is nil for a version from the store.
func (c *Core) adopt(s *snapshot.Snapshot, from *link) {
	source, held := SourceStore, c.history.held()
	if from != nil {
		source = string(from.peer)
		from.theirs = markOf(s)
	}
	if held != nil && s.Version() <= held.Version() {
		c.compareDigest(s.Version(), s.Digest(), source)
		return
	}
	c.record(Record{Kind: RecordAccepted, Version: s.Version(), Digest: s.Digest(), Source: source})
	c.emit(Apply{Snapshot: s, Source: source, Previous: held})
	c.record(Record{Kind: RecordApplied, Version: s.Version(), Digest: s.Digest(), Source: source})
	c.history.push(s)
	c.recheck.version = true
	c.forward(from)
}

// compareDigest reports two contents of the version held.
func (c *Core) compareDigest(v model.Version, d model.Digest, source string) {
	held := c.heldMark()
	if v == held.Version && v != 0 && d.Prefix() != held.Prefix {
		c.record(Record{Kind: RecordConflict, Version: v, Digest: d, Source: source, Reason: "the first contents applied are kept; publish a higher version"})
	}
}

// reject remembers a version whose contents are known to be bad.
func (c *Core) reject(m mark, digest model.Digest, source string, err error) {
	if m.Prefix != (model.DigestPrefix{}) {
		c.rejected.add(m)
	}
	c.record(Record{Kind: RecordRejected, Version: m.Version, Digest: digest, Source: source, Reason: err.Error()})
}

// onDelta applies a delta to the version held or, when changes crossed in transit, to
// an earlier one.
func (c *Core) onDelta(l *link, d delta) {
	l.pulledAt = time.Time{}
	if c.history.held() == nil {
		c.pull(l, mark{})
		return
	}
	s, err := c.applyDelta(d)
	if err == nil {
		c.adopt(s, l)
		return
	}
	var failure *snapshot.Error
	if errors.As(err, &failure) && failure.Version != 0 && failure.Version <= c.heldMark().Version {
		return // late
	}
	switch snapshot.KindOf(err) {
	case snapshot.WrongBase:
		c.pull(l, c.heldMark())
	case snapshot.DigestMismatch:
		c.pull(l, mark{})
	default:
		c.reject(mark{Version: versionOf(failure)}, model.Digest{}, string(l.peer), err)
	}
}

func versionOf(failure *snapshot.Error) model.Version {
	if failure == nil {
		return 0
	}
	return failure.Version
}

// applyDelta tries the version held and, as bases, the earlier ones: a delta with
// another base is told from its header.
func (c *Core) applyDelta(d delta) (*snapshot.Snapshot, error) {
	var first error
	for i := len(c.history.snapshots) - 1; i >= 0; i-- {
		s, err := snapshot.ApplyDelta(c.history.snapshots[i], d, c.cfg.Verifier)
		if err == nil || snapshot.KindOf(err) != snapshot.WrongBase {
			return s, err
		}
		if first == nil {
			first = err
		}
	}
	return nil, first
}

// onFull collects the parts of a complete version.
func (c *Core) onFull(l *link, m full) {
	if m.Part == 0 {
		l.full, l.manifest = &assembly{}, m.Manifest
	}
	if l.full == nil || l.want == modeOff && l.pulledAt.IsZero() && !c.boot.active {
		l.full, l.manifest = nil, nil // not asked for
		return
	}
	complete, ok := l.full.add(m.Part, m.Parts, m.Data, maxComplete)
	if !ok {
		l.full, l.manifest = nil, nil
		return
	}
	if !complete {
		l.pulledAt, c.pulledAt = c.now, c.now
		return
	}
	manifest, data := l.manifest, l.full.data
	l.full, l.manifest, l.pulledAt = nil, nil, time.Time{}
	c.openFull(l, manifest, data)
}

func (c *Core) openFull(l *link, encoded, data []byte) {
	m, err := snapshot.DecodeManifest(encoded)
	if err != nil {
		c.record(Record{Kind: RecordMalformed, Source: string(l.peer), Reason: err.Error()})
		return
	}
	segments, ok := cut(data, m)
	if !ok || !intact(m, segments) {
		c.record(Record{Kind: RecordMalformed, Version: m.Version, Source: string(l.peer), Reason: "the segments are not those of the manifest"})
		return
	}
	c.open(m, segments, l)
}

// intact reports whether the segments are those that the manifest names. Other data was
// damaged on the way and says nothing about the version.
func intact(m snapshot.Manifest, segments [][]byte) bool {
	if len(segments) != len(m.Segments) {
		return false
	}
	for i, segment := range segments {
		if sha256.Sum256(segment) != m.Segments[i].Digest {
			return false
		}
	}
	return true
}

// open validates a complete version and adopts or rejects it.
func (c *Core) open(m snapshot.Manifest, segments [][]byte, from *link) {
	source := SourceStore
	if from != nil {
		source = string(from.peer)
	}
	named := mark{Version: m.Version, Prefix: m.TableDigest.Prefix()}
	if m.Version <= c.heldMark().Version {
		c.compareDigest(m.Version, m.TableDigest, source)
		return
	}
	if c.rejected.has(named) {
		return
	}
	s, err := snapshot.Open(m, segments, c.cfg.Verifier)
	if err != nil {
		c.reject(named, m.TableDigest, source, err)
		return
	}
	c.adopt(s, from)
}

// note takes down the version that a peer reports to hold. A newer one is pulled when
// the eager parent does not send it in time. The report is a hint: nothing else depends
// on its version number.
func (c *Core) note(l *link, m mark) {
	l.theirs = m
	held := c.heldMark()
	if m.Version <= held.Version || c.rejected.has(m) {
		c.compareDigest(m.Version, digestOf(m.Prefix), string(l.peer))
		l.advertAt, l.pulledAt = time.Time{}, time.Time{}
		return
	}
	if l.advertAt.IsZero() {
		l.advertAt = c.now.Add(lazyDelay)
	}
}

// advanceAdvert pulls a version that was adverted: after lazyDelay, or at once without
// an eager parent and while the daemon checks what it holds.
func (c *Core) advanceAdvert(l *link) {
	if l.advertAt.IsZero() {
		return
	}
	if l.theirs.Version <= c.heldMark().Version {
		l.advertAt = time.Time{}
		return
	}
	waiting := c.eager != nil && !c.boot.active && !c.recheck.active
	if waiting && !c.due(l.advertAt) {
		return
	}
	if !c.pulledAt.IsZero() && !c.due(c.pulledAt.Add(lazyDelay)) {
		return // another pull is under way
	}
	l.advertAt = time.Time{}
	c.pull(l, c.heldMark())
}

// pull asks a peer for its version unless a pull is under way on the link.
func (c *Core) pull(l *link, held mark) {
	if !l.pulledAt.IsZero() && !c.due(l.pulledAt.Add(pullTimeout)) {
		return
	}
	l.pulledAt, c.pulledAt = c.now, c.now
	c.send(l, pull{Held: held})
}
