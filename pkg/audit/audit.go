// Package audit keeps the most recent entries of a daemon's audit trail, which records how
// the daemon handled every version of the routing table that it received. Each entry is
// also written to the log as one line.
package audit

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
)

// Capacity is the default maximum number of entries in a trail.
const Capacity = 1000

// maxLoggedRows is the maximum number of changed rows in one log line.
const maxLoggedRows = 20

// Kind is the kind of event that an entry records.
type Kind string

// The kinds of entries.
const (
	Seen      Kind = "seen"
	Accepted  Kind = "accepted"
	Rejected  Kind = "rejected"
	Applied   Kind = "applied"
	Conflict  Kind = "conflict"
	Stale     Kind = "stale"
	StaleList Kind = "stale_list" // an instance list older than the one in use
	Malformed Kind = "malformed"  // a message that cannot be read
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Seen, Accepted, Rejected, Applied, Conflict, Stale, StaleList, Malformed}
}

// Entry is one event of the trail.
type Entry struct {
	Time    time.Time
	Kind    Kind
	Version model.Version
	// Digest is the digest of the table; zero if unknown.
	Digest model.Digest
	// Source is "store" or the ID of the daemon that sent the version.
	Source string
	// Reason is why a version was rejected or conflicts with another; empty otherwise.
	Reason string
	// Rows describes the changed rows of an applied version.
	Rows []string
	// Age is the time since the version was published; 0 if unknown.
	Age time.Duration
}

// entryJSON is the JSON form of an Entry.
type entryJSON struct {
	Time       time.Time     `json:"time"`
	Kind       Kind          `json:"kind"`
	Version    model.Version `json:"version"`
	Digest     string        `json:"digest,omitempty"`
	Source     string        `json:"source,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	Rows       []string      `json:"rows,omitempty"`
	AgeSeconds float64       `json:"age_seconds,omitempty"`
}

// digestText returns the digest in hexadecimal, or "" if it is unknown.
func (e Entry) digestText() string {
	if e.Digest == (model.Digest{}) {
		return ""
	}
	return e.Digest.String()
}

// MarshalJSON writes the digest in hexadecimal and the age in seconds.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(entryJSON{
		Time: e.Time.UTC(), Kind: e.Kind, Version: e.Version, Digest: e.digestText(), Source: e.Source,
		Reason: e.Reason, Rows: e.Rows, AgeSeconds: e.Age.Seconds(),
	})
}

// UnmarshalJSON reverses MarshalJSON.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var w entryJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	digest, err := hex.DecodeString(w.Digest)
	if err != nil || (len(digest) != 0 && len(digest) != len(e.Digest)) {
		return fmt.Errorf("digest %q is not the hexadecimal form of 32 bytes", w.Digest)
	}
	*e = Entry{
		Time: w.Time, Kind: w.Kind, Version: w.Version, Source: w.Source, Reason: w.Reason, Rows: w.Rows,
		Age: time.Duration(w.AgeSeconds * float64(time.Second)),
	}
	copy(e.Digest[:], digest)
	return nil
}

// Trail holds the most recent entries. It is safe for concurrent use.
type Trail struct {
	log *zap.Logger

	mu      sync.Mutex
	entries []Entry // a ring buffer once it has reached limit
	next    int     // index of the oldest entry once the ring is full, else 0
	limit   int
	counts  map[Kind]uint64 // entries since the start
}

// NewTrail returns a trail of at most capacity entries; 0 means Capacity.
func NewTrail(log *zap.Logger, capacity int) *Trail {
	if capacity <= 0 {
		capacity = Capacity
	}
	return &Trail{log: log, limit: capacity, counts: make(map[Kind]uint64)}
}

// Record appends an entry and logs it. If the trail is full, the oldest entry is
// overwritten.
func (t *Trail) Record(e Entry) {
	t.mu.Lock()
	t.counts[e.Kind]++
	if len(t.entries) < t.limit {
		t.entries = append(t.entries, e)
	} else {
		t.entries[t.next] = e
		t.next = (t.next + 1) % t.limit
	}
	t.mu.Unlock()
	fields := []zap.Field{zap.Uint64("version", uint64(e.Version)), zap.String("digest", e.digestText()), zap.String("source", e.Source)}
	if e.Reason != "" {
		fields = append(fields, zap.String("reason", e.Reason))
	}
	if e.Age != 0 {
		fields = append(fields, zap.Duration("age", e.Age))
	}
	if len(e.Rows) > 0 {
		logged := e.Rows[:min(len(e.Rows), maxLoggedRows)]
		fields = append(fields, zap.Int("changed_rows", len(e.Rows)), zap.String("rows", fmt.Sprint(logged)))
	}
	event := "version_" + string(e.Kind)
	switch e.Kind {
	case Seen, Accepted, Applied:
		t.log.Info(event, fields...)
	default:
		t.log.Warn(event, fields...)
	}
}

// Count returns the number of entries of a kind since the start, including those that
// have been overwritten.
func (t *Trail) Count(kind Kind) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[kind]
}

// Entries returns up to max entries, newest first; 0 returns all.
func (t *Trail) Entries(max int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.entries)
	if max <= 0 || max > n {
		max = n
	}
	out := make([]Entry, max)
	for i := range out {
		out[i] = t.entries[(t.next+n-1-i)%n]
	}
	return out
}
