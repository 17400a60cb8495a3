package distribution

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mangoshed.example/mangoshed/core/dissemination"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/platform"
)

// parallelSegments bounds the segments that are fetched at once.
const parallelSegments = 4

// Backoff bounds the pauses between failed calls.
type Backoff struct {
	// Min is the first pause, doubled after each failure; default 200 ms.
	Min time.Duration
	// Max bounds the pause; default 10 s.
	Max time.Duration
}

func (b *Backoff) setDefaults() {
	if b.Min <= 0 {
		b.Min = 200 * time.Millisecond
	}
	if b.Max < b.Min {
		b.Max = max(b.Min, 10*time.Second)
	}
}

// store performs the core's calls to the platform.
type store struct {
	r       *Runner
	client  platform.Client
	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	stop    context.CancelFunc // ends the standing watches; nil if there are none
	reading map[string]bool    // one-shot reads under way
}

func newStore(r *Runner, random *rand.Rand) *store {
	return &store{
		r: r, client: counted{r.cfg.Platform, r.metrics}, random: random, reading: make(map[string]bool),
	}
}

// watch starts or ends the standing watches of the manifest and of the list.
func (s *store) watch(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.stop != nil) {
		return
	}
	if !on {
		s.stop()
		s.stop = nil
		return
	}
	ctx, cancel := context.WithCancel(s.r.ctx)
	s.stop = cancel
	s.r.tasks.Go(func() { s.loop(ctx, s.watchManifest) })
	s.r.tasks.Go(func() { s.loop(ctx, s.watchList) })
}

// loop repeats a watch from the revision that the last one returned, until ctx ends.
func (s *store) loop(ctx context.Context, once func(ctx context.Context, after uint64) (uint64, error)) {
	var after, highest uint64
	pause := s.r.cfg.Backoff.Min
	for ctx.Err() == nil {
		revision, err := once(ctx, after)
		var same *platform.NotModified
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && revision > highest:
			after, highest, pause = revision, revision, s.r.cfg.Backoff.Min
			continue
		case err == nil:
			after = revision
		case errors.As(err, &same) && same.Revision >= after:
			pause = s.r.cfg.Backoff.Min
			continue
		case errors.As(err, &same):
			// The store was restored or is stale. The next watch returns what it holds,
			// so that the core reports it, and then watches on from there.
			after = max(same.Revision, 1) - 1
		}
		s.sleep(ctx, pause, err)
		pause = min(2*pause, s.r.cfg.Backoff.Max)
	}
}

// sleep waits for the pause with jitter of half its length, or for as long as the
// platform asks for.
func (s *store) sleep(ctx context.Context, pause time.Duration, err error) {
	s.mu.Lock()
	pause = pause/2 + time.Duration(s.random.Int64N(int64(pause)))
	s.mu.Unlock()
	var failed *platform.Error
	if errors.As(err, &failed) {
		pause = max(pause, failed.RetryAfter)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *store) watchManifest(ctx context.Context, after uint64) (uint64, error) {
	v, err := s.client.Watch(ctx, snapshot.ManifestKey, after)
	s.answer(ctx, dissemination.StoreManifest{Data: v.Data, Revision: v.Revision, Err: err}, len(v.Data), err)
	return v.Revision, err
}

func (s *store) watchList(ctx context.Context, after uint64) (uint64, error) {
	list, err := s.client.List(ctx, after, true)
	s.answer(ctx, dissemination.StoreList{Revision: list.Revision, Instances: list.Instances, Err: err}, 0, err)
	return list.Revision, err
}

// answer passes an outcome to the core, unless the call was ended or brought no news.
func (s *store) answer(ctx context.Context, e dissemination.Event, size int, err error) {
	var same *platform.NotModified
	if err == nil || errors.As(err, &same) {
		s.r.heard()
	}
	if ctx.Err() != nil || same != nil {
		return
	}
	if err != nil {
		s.r.cfg.Log.Warn("store_call_failed", zap.Error(err))
	}
	s.r.queue.put(e, size)
}

// once runs a one-shot call unless the same one is under way.
func (s *store) once(name string, run func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading[name] {
		return
	}
	s.reading[name] = true
	s.r.tasks.Go(func() {
		run(s.r.ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.reading, name)
	})
}

func (s *store) readManifest() {
	s.once("manifest", func(ctx context.Context) {
		v, err := s.client.Read(ctx, snapshot.ManifestKey)
		s.answer(ctx, dissemination.StoreManifest{Data: v.Data, Revision: v.Revision, Err: err}, len(v.Data), err)
	})
}

func (s *store) readList() {
	s.once("list", func(ctx context.Context) {
		list, err := s.client.List(ctx, 0, false)
		s.answer(ctx, dissemination.StoreList{Revision: list.Revision, Instances: list.Instances, Err: err}, 0, err)
	})
}

// fetch reads the segments of a manifest.
func (s *store) fetch(a dissemination.FetchSegments) {
	m := a.Manifest
	s.once(fmt.Sprintf("segments of %d/%s", m.Version, m.TableDigest), func(ctx context.Context) {
		segments := make([][]byte, len(m.Segments))
		group, groupCtx := errgroup.WithContext(ctx)
		group.SetLimit(parallelSegments)
		for i, ref := range m.Segments {
			if segments[i] = a.Have[ref.Digest]; segments[i] != nil {
				continue
			}
			group.Go(func() error {
				v, err := s.client.Read(groupCtx, snapshot.SegmentKey(ref.Digest))
				segments[i] = v.Data
				return err
			})
		}
		err := group.Wait()
		if err != nil {
			segments = nil
		}
		s.answer(ctx, dissemination.StoreSegments{Manifest: m, Segments: segments, Err: err}, 0, err)
	})
}
