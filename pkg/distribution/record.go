package distribution

import (
	"time"

	"mangoshed.example/mangoshed/core/dissemination"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/pkg/audit"
)

// record adds an entry to the audit trail. The changed rows and the age of an applied
// version come from the Apply action of the same batch.
func (r *Runner) record(a dissemination.Record) {
	now := time.Now()
	e := audit.Entry{Time: now, Kind: audit.Kind(a.Kind), Version: a.Version, Digest: a.Digest, Source: a.Source, Reason: a.Reason}
	switch a.Kind {
	case dissemination.RecordRejected:
		r.metrics.rejected.Inc()
	case dissemination.RecordConflict:
		r.metrics.conflicts.Inc()
	case dissemination.RecordMalformed:
		r.metrics.malformed.Inc()
	}
	if applied := r.applied; applied != nil && applied.Snapshot.Version() == a.Version {
		e.Age = age(applied.Snapshot, now)
		if a.Kind == dissemination.RecordApplied {
			e.Rows = changedRows(applied.Previous, applied.Snapshot)
		}
	}
	r.cfg.Trail.Record(e)
}

// age returns the time since publication; clocks that differ make it 0 at the least.
func age(s *snapshot.Snapshot, now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(s.Header().PublishedMillis)), 0)
}

// changedRows describes the difference between two versions; the first version of a
// daemon has none.
func changedRows(previous, current *snapshot.Snapshot) []string {
	if previous == nil {
		return nil
	}
	changes := table.Diff(previous.Table(), current.Table())
	rows := make([]string, len(changes))
	for i, c := range changes {
		rows[i] = c.String()
	}
	return rows
}
