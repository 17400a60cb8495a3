package once

import "time"

// State is the state of the run that a key stands for.
type State uint8

// States of a run.
const (
	// Running means that the request was dispatched and has not finished.
	Running State = iota
	// Done means that the upstream returned a complete response.
	Done
	// Failed means that the request may have run, but that no complete response arrived.
	Failed
)

// String returns the name of the state, as used in the refusal of a duplicate request.
func (s State) String() string { return [...]string{"running", "done", "failed"}[min(s, Failed)] }

// Bounds of the registry.
const (
	// KeyLifetime is the time after its creation for which a key is kept.
	KeyLifetime = 10 * time.Minute
	// MaxClockSkew is the maximum difference between the clocks of any two callers or daemons.
	MaxClockSkew = 2 * time.Second
	// MaxAnswer is the size in bytes of the largest response that is recorded.
	MaxAnswer = 16 << 10
	// DefaultMaxKeys is the default maximum number of keys: those of 10 min at 218 requests with a
	// key per second.
	DefaultMaxKeys = 1 << 17
	// DefaultMaxAnswerBytes is the default maximum size of all recorded responses together. A key
	// whose response does not fit is kept without it.
	DefaultMaxAnswerBytes = 16 << 20
)

// Record is the state that the owner of a key keeps for it.
type Record struct {
	ID      Digest `cbor:"1,keyasint"`
	Created int64  `cbor:"2,keyasint"`
	State   State  `cbor:"3,keyasint,omitempty"`
	// Answer is the recorded response in the encoding of the caller of Core.Finish, nil if there is
	// none.
	Answer []byte `cbor:"4,keyasint,omitempty"`
	hash   uint64
}

// bucketMillis is the width of an expiry bucket.
const bucketMillis = 10_000

// retentionMillis is the age at which a record is deleted. Every daemon refuses the key as too old
// before that, at age KeyLifetime by its own clock.
const retentionMillis = int64((KeyLifetime + 2*MaxClockSkew) / time.Millisecond)

// Registry stores the records of keys. When it is full, it refuses new keys instead of evicting one.
type Registry struct {
	maxKeys, maxBytes int
	records           map[Digest]*Record
	// buckets index the keys by creation time. A cleared key stays in its bucket until the bucket
	// expires or the buckets are rebuilt.
	buckets              map[int64][]Digest
	bucketEntries        int
	expiredBucket        int64
	answerBytes, running int
}

// NewRegistry returns an empty registry. A bound of 0 selects its default.
func NewRegistry(maxKeys, maxAnswerBytes int) *Registry {
	if maxKeys == 0 {
		maxKeys = DefaultMaxKeys
	}
	if maxAnswerBytes == 0 {
		maxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &Registry{maxKeys: maxKeys, maxBytes: maxAnswerBytes, records: map[Digest]*Record{}, buckets: map[int64][]Digest{}}
}

// Usage returns the number of keys, the total size of the recorded responses and the number of
// running requests.
func (r *Registry) Usage() (keys, answerBytes, running int) {
	return len(r.records), r.answerBytes, r.running
}

// Lookup returns the record of a key.
func (r *Registry) Lookup(id Digest) (Record, bool) {
	if rec, ok := r.records[id]; ok {
		return *rec, true
	}
	return Record{}, false
}

// add adds a key in state Running. It returns false if the registry is full.
func (r *Registry) add(key Key) bool {
	if len(r.records) >= r.maxKeys {
		return false
	}
	r.insert(&Record{ID: key.ID, Created: key.Created, hash: key.hash})
	r.running++
	return true
}

// insert adds a record. Because cleared keys stay in the buckets, it rebuilds the buckets from the
// records when they hold twice as many entries as there can be records.
func (r *Registry) insert(rec *Record) {
	r.records[rec.ID] = rec
	if r.bucketEntries >= 2*r.maxKeys {
		clear(r.buckets)
		r.bucketEntries = 0
		for _, other := range r.records {
			r.addToBucket(other)
		}
		return
	}
	r.addToBucket(rec)
}

// addToBucket adds a record to its bucket.
func (r *Registry) addToBucket(rec *Record) {
	bucket := rec.Created / bucketMillis
	r.buckets[bucket] = append(r.buckets[bucket], rec.ID)
	r.bucketEntries++
}

// finish records the end of a run.
func (r *Registry) finish(id Digest, state State, answer []byte) {
	rec, ok := r.records[id]
	if !ok || rec.State != Running {
		return
	}
	r.running--
	rec.State = state
	if len(answer) <= MaxAnswer && r.answerBytes+len(answer) <= r.maxBytes {
		rec.Answer = answer
		r.answerBytes += len(answer)
	}
}

// clear removes a running key whose request definitely did not run.
func (r *Registry) clear(id Digest) {
	if rec, ok := r.records[id]; ok && rec.State == Running {
		r.running--
		delete(r.records, id)
	}
}

// addTransferred adds a record of a leaving owner. It returns false if the registry is full.
func (r *Registry) addTransferred(rec Record) bool {
	if _, known := r.records[rec.ID]; known {
		return true
	}
	if len(r.records) >= r.maxKeys {
		return false
	}
	if len(rec.Answer) > MaxAnswer || r.answerBytes+len(rec.Answer) > r.maxBytes {
		rec.Answer = nil
	}
	if rec.State == Running {
		rec.State = Failed // this instance cannot learn how the run of a departed owner ended
	}
	r.answerBytes += len(rec.Answer)
	rec.hash = hashDigest(rec.ID)
	r.insert(&rec)
	return true
}

// expire deletes the records older than keepMillis. Records of running requests stay until the
// requests finish.
func (r *Registry) expire(nowMillis int64) {
	firstKept := (nowMillis - retentionMillis) / bucketMillis
	if firstKept <= r.expiredBucket {
		return
	}
	r.expiredBucket = firstKept
	for bucket, ids := range r.buckets {
		if bucket >= firstKept {
			continue
		}
		var running []Digest
		for _, id := range ids {
			rec, ok := r.records[id]
			switch {
			case !ok || rec.Created/bucketMillis != bucket: // cleared; a retry may have added it again
			case rec.State == Running:
				running = append(running, id)
			default:
				r.answerBytes -= len(rec.Answer)
				delete(r.records, id)
			}
		}
		r.bucketEntries -= len(ids) - len(running)
		if running == nil {
			delete(r.buckets, bucket)
		} else {
			r.buckets[bucket] = running
		}
	}
}
