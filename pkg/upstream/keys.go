package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/once"
	"mangoshed.example/mangoshed/core/refusal"
)

// maxKey is the length in bytes of the longest accepted key.
const maxKey = 256

// headerReplayed marks a recorded answer.
const headerReplayed = "Idempotency-Replayed"

// answer is a recorded answer.
type answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// runKeyed runs a keyed request at most once, as the owner of its key.
func (g *Guard) runKeyed(req *http.Request, name string, draining bool) (*http.Response, *refusal.Refusal) {
	created, err := strconv.ParseInt(req.Header.Get(refusal.HeaderCreated), 10, 64)
	if err != nil || len(name) > maxKey {
		return nil, notRun(refusal.BadRequest, "send "+refusal.HeaderKey+" of at most 256 bytes and "+refusal.HeaderCreated+" with the Unix milliseconds of its first use")
	}
	key := once.NewKey(g.cfg.Self.Service, name, created)
	decision, record := g.keys.begin(key)
	g.metrics.keys.WithLabelValues(decision.String()).Inc()
	if decision != once.Run {
		return replay(req, decision, record)
	}
	g.begin()
	g.mu.Lock()
	local := g.local.Weight > 0 || g.cfg.Dispatch == nil
	g.mu.Unlock()
	var resp *http.Response
	var refused *refusal.Refusal
	if local && !draining {
		resp, refused = g.runLocal(req, admission.NonRepeatable)
	} else {
		resp, refused = g.dispatch(req)
	}
	if refused != nil {
		if refused.Run == refusal.NotRun {
			g.keys.clear(key.ID)
		} else {
			g.keys.finish(key.ID, once.Failed, nil)
		}
		g.end()
		return nil, refused
	}
	recorder := &recordedBody{ReadCloser: resp.Body, guard: g, id: key.ID, status: resp.StatusCode, header: resp.Header.Clone()}
	if resp.Body == http.NoBody || resp.ContentLength == 0 {
		recorder.finish(once.Done)
	} else {
		resp.Body = recorder
	}
	return resp, nil
}

// dispatch sends a keyed request that this daemon owns to another instance, once.
func (g *Guard) dispatch(req *http.Request) (*http.Response, *refusal.Refusal) {
	if g.cfg.Dispatch == nil {
		return nil, notRun(refusal.Leaving, "the instance is leaving; send the request to another one")
	}
	out := req.Clone(req.Context())
	out.Header.Set(refusal.HeaderDispatch, "1")
	out.Header.Set(refusal.HeaderService, g.cfg.Self.Service)
	resp, err := g.cfg.Dispatch.RoundTrip(out)
	if err != nil {
		var refused *refusal.Refusal
		if errors.As(err, &refused) {
			return nil, refused
		}
		return nil, &refusal.Refusal{Kind: refusal.UpstreamFailed, Run: refusal.MayHaveRun, Remedy: err.Error()}
	}
	if refused, ok := refusal.FromResponse(resp); ok {
		_ = resp.Body.Close()
		return nil, refused
	}
	return resp, nil
}

// replay answers a keyed request that does not run here now.
func replay(req *http.Request, decision once.Decision, record once.Record) (*http.Response, *refusal.Refusal) {
	var recorded answer
	switch decision {
	case once.Duplicate:
		if record.State != once.Done || record.Answer == nil || cbor.Unmarshal(record.Answer, &recorded) != nil {
			return nil, &refusal.Refusal{Kind: refusal.Duplicate, Run: refusal.MayHaveRun, Remedy: "the first request with the key is " + record.State.String() + "; look up its effect instead of sending it again"}
		}
	case once.Unknown:
		return nil, &refusal.Refusal{Kind: refusal.UnknownOutcome, Run: refusal.MayHaveRun, Remedy: "an earlier owner of the key may have run the request; look up its effect"}
	case once.Full:
		return nil, notRun(refusal.Overloaded, "the registry of keys is full; try again in a minute, or raise its limit")
	case once.Future:
		return nil, notRun(refusal.BadRequest, refusal.HeaderCreated+" is in the future; correct the caller's clock")
	case once.LeavingOwner:
		return nil, notRun(refusal.Leaving, "the key's owner is leaving; try again")
	case once.Paused:
		return nil, notRun(refusal.NotOwner, "the daemon was paused and checks its view; try again")
	default:
		return nil, notRun(refusal.NotOwner, "another instance owns the key; send the request to the next one in the key's order")
	}
	closeBody(req)
	recorded.Header.Set(headerReplayed, "true")
	return &http.Response{
		Status: http.StatusText(recorded.Status), StatusCode: recorded.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: recorded.Header, Body: io.NopCloser(bytes.NewReader(recorded.Body)), ContentLength: int64(len(recorded.Body)), Request: req,
	}, nil
}

// recordedBody records the end of a keyed run and its answer, if it is small.
type recordedBody struct {
	io.ReadCloser
	guard  *Guard
	id     once.Digest
	status int
	header http.Header
	body   []byte
	large  bool
	once   sync.Once
}

// Read copies what fits the record.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if len(b.body)+n > once.MaxAnswer {
		b.body, b.large = nil, true
	} else if !b.large {
		b.body = append(b.body, p[:n]...)
	}
	if errors.Is(err, io.EOF) {
		b.finish(once.Done)
	} else if err != nil {
		b.finish(once.Failed)
	}
	return n, err
}

// Close records a run whose answer was not read to its end as failed.
func (b *recordedBody) Close() error {
	b.finish(once.Failed)
	return b.ReadCloser.Close()
}

func (b *recordedBody) finish(state once.State) {
	b.once.Do(func() {
		var data []byte
		if state == once.Done && !b.large {
			for name := range b.header {
				if strings.HasPrefix(name, refusal.HeaderPrefix) {
					delete(b.header, name)
				}
			}
			if encoded, err := cbor.Marshal(answer{b.status, b.header, b.body}); err == nil && len(encoded) <= once.MaxAnswer {
				data = encoded
			}
		}
		b.guard.keys.finish(b.id, state, data)
		b.guard.end()
	})
}

// keys holds the ownership state machine and carries its messages.
type keys struct {
	guard *Guard

	mu    sync.Mutex
	core  *once.Core
	view  viewCache
	stale bool
	// ticked counts regular ticks since a pause; see paused.
	ticked  int
	reading bool
	// readAt is the time of the next reading of the list; members is the size of the view.
	readAt  time.Time
	members int
	moved   chan struct{}
	sending chan struct{}
}

func (k *keys) begin(key once.Key) (once.Decision, once.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stale {
		if record, ok := k.core.Registry().Lookup(key.ID); ok {
			return once.Duplicate, record
		}
		return once.Paused, once.Record{}
	}
	return k.core.Begin(time.Now(), key)
}

func (k *keys) finish(id once.Digest, state once.State, data []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Finish(id, state, data)
	k.progress()
}

func (k *keys) clear(id once.Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Clear(id)
	k.progress()
}

func (k *keys) figures() (keys, answerBytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	keys, answerBytes, _ = k.core.Registry().Usage()
	return keys, answerBytes
}

// paused reports whether the process has woken up and its view is not checked yet.
func (k *keys) paused() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stale || k.core.Paused(time.Now())
}
