package once

import "time"

// State is the state of a key's run.
type State uint8

// States of a run.
const (
	// Running means that the request was dispatched and has not finished.
	Running State = iota
	// Done means that the upstream answered completely.
	Done
	// Failed means that the request may have run, but no complete answer arrived.
	Failed
)

// String returns the state's name as a duplicate's refusal shows it.
func (s State) String() string { return [...]string{"running", "done", "failed"}[min(s, Failed)] }

// Bounds of the registry.
const (
	// Window is the time for which a key is remembered after its creation.
	Window = 10 * time.Minute
	// Skew is the greatest difference of two clocks.
	Skew = 2 * time.Second
	// MaxAnswer is the size in bytes of the largest recorded answer.
	MaxAnswer = 16 << 10
	// DefaultMaxKeys holds the keys of 10 min at 218 keyed requests per second.
	DefaultMaxKeys = 1 << 17
	// DefaultMaxAnswerBytes bounds all recorded answers together. A key whose answer does not
	// fit is kept without it.
	DefaultMaxAnswerBytes = 16 << 20
)

// Record is what the owner knows of a key.
type Record struct {
	ID      Digest `cbor:"1,keyasint"`
	Created int64  `cbor:"2,keyasint"`
	State   State  `cbor:"3,keyasint,omitempty"`
	// Answer is the recorded answer in the adapter's encoding, nil when there is none.
	Answer []byte `cbor:"4,keyasint,omitempty"`
	hash   uint64
}

// bucketMillis is the granularity of expiry.
const bucketMillis = 10_000

// keepMillis is the time after its creation at which a record is dropped. Requests are refused
// as too old Window after the creation by any daemon's clock, which is earlier.
const keepMillis = int64((Window + 2*Skew) / time.Millisecond)

// Registry remembers keys. It refuses new keys when it is full rather than forgetting one.
type Registry struct {
	maxKeys, maxBytes int
	records           map[Digest]*Record
	// buckets list the keys by creation time. A cleared key stays listed until its bucket ends or
	// the lists are rebuilt.
	buckets        map[int64][]Digest
	listed         int
	expired        int64
	bytes, running int
}

// NewRegistry returns an empty registry; 0 takes the default of a bound.
func NewRegistry(maxKeys, maxAnswerBytes int) *Registry {
	if maxKeys == 0 {
		maxKeys = DefaultMaxKeys
	}
	if maxAnswerBytes == 0 {
		maxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &Registry{maxKeys: maxKeys, maxBytes: maxAnswerBytes, records: map[Digest]*Record{}, buckets: map[int64][]Digest{}}
}

// Len returns the number of keys, the bytes of recorded answers and the running requests.
func (r *Registry) Len() (keys, answerBytes, running int) {
	return len(r.records), r.bytes, r.running
}

// Lookup returns the record of a key.
func (r *Registry) Lookup(id Digest) (Record, bool) {
	if rec, ok := r.records[id]; ok {
		return *rec, true
	}
	return Record{}, false
}

// begin adds a running key; false means that the registry is full.
func (r *Registry) begin(key Key) bool {
	if len(r.records) >= r.maxKeys {
		return false
	}
	r.put(&Record{ID: key.ID, Created: key.Created, hash: key.hash})
	r.running++
	return true
}

func (r *Registry) put(rec *Record) {
	r.records[rec.ID] = rec
	if r.listed >= 2*r.maxKeys {
		clear(r.buckets)
		r.listed = 0
		for _, other := range r.records {
			r.list(other)
		}
		return
	}
	r.list(rec)
}

func (r *Registry) list(rec *Record) {
	bucket := rec.Created / bucketMillis
	r.buckets[bucket] = append(r.buckets[bucket], rec.ID)
	r.listed++
}

// finish records the end of a run.
func (r *Registry) finish(id Digest, state State, answer []byte) {
	rec, ok := r.records[id]
	if !ok || rec.State != Running {
		return
	}
	r.running--
	rec.State = state
	if len(answer) <= MaxAnswer && r.bytes+len(answer) <= r.maxBytes {
		rec.Answer = answer
		r.bytes += len(answer)
	}
}

// clear forgets a running key whose request truly did not run.
func (r *Registry) clear(id Digest) {
	if rec, ok := r.records[id]; ok && rec.State == Running {
		r.running--
		delete(r.records, id)
	}
}

// accept takes a record of a leaving owner; false means that the registry is full.
func (r *Registry) accept(rec Record) bool {
	if _, known := r.records[rec.ID]; known {
		return true
	}
	if len(r.records) >= r.maxKeys {
		return false
	}
	if len(rec.Answer) > MaxAnswer || r.bytes+len(rec.Answer) > r.maxBytes {
		rec.Answer = nil
	}
	if rec.State == Running {
		rec.State = Failed // its owner is gone: the end of the run will not become known here
	}
	r.bytes += len(rec.Answer)
	rec.hash = hashDigest(rec.ID)
	r.put(&rec)
	return true
}

// expire drops the keys whose window is over. Running keys stay until they finish.
func (r *Registry) expire(nowMillis int64) {
	last := (nowMillis - keepMillis) / bucketMillis
	if last <= r.expired {
		return
	}
	r.expired = last
	for bucket, ids := range r.buckets {
		if bucket >= last {
			continue
		}
		var running []Digest
		for _, id := range ids {
			rec, ok := r.records[id]
			switch {
			case !ok || rec.Created/bucketMillis != bucket: // cleared, perhaps sent again since
			case rec.State == Running:
				running = append(running, id)
			default:
				r.bytes -= len(rec.Answer)
				delete(r.records, id)
			}
		}
		r.listed -= len(ids) - len(running)
		if running == nil {
			delete(r.buckets, bucket)
		} else {
			r.buckets[bucket] = running
		}
	}
}
