package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
)

// followReaders keeps the daemon supplied with a feed until the context ends. A current feed
// continues until another one is current.
func (f *Follower) followReaders(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ended := make(chan struct{}, 1)
	for ctx.Err() == nil {
		if address, ok := f.nextReader(time.Now()); ok {
			feedCtx, cancel := context.WithCancelCause(ctx)
			f.feedClient.Load().addAttempt(time.Now(), address, cancel)
			running.Go(func() {
				defer cancel(nil)
				f.followReader(feedCtx, address)
				select {
				case ended <- struct{}{}:
				default: // a signal is already pending
				}
			})
		}
		await(ctx, ended, roleCheckInterval)
	}
}

// nextReader returns a reader to ask for a feed, and whether there is one to ask.
func (f *Follower) nextReader(now time.Time) (string, bool) {
	if f.Fleet.View().Table == nil || !f.wantsFeed(now) {
		return "", false
	}
	return f.feedClient.Load().nextReader(now, !f.Fresh())
}

// followReader receives the feed of a reader until it is lost, is replaced or is no longer needed.
func (f *Follower) followReader(ctx context.Context, address string) {
	feedClient, acceptedAt := f.feedClient.Load(), time.Time{}
	err := feedClient.receiveFeed(ctx, address, feedCallbacks{
		accepted: func() {
			acceptedAt = time.Now()
			f.Log.Info("feed_started", zap.String("reader", address), positionField(f.Fleet.Revision()))
		},
		frameApplied: func(now time.Time, age time.Duration) error {
			wasStale := !f.Fresh()
			f.freshness.peerProved(now.Add(-age))
			f.burstDetector.note(now, f.Fleet.View())
			readerStale := age > maxFreshAge+proofAgeTolerance
			switch {
			case readerStale && now.Sub(acceptedAt) > takeoverTime:
				return errNotFresh
			case !f.wantsFeed(now):
				return errNotNeeded
			case !readerStale && !feedClient.useFeed(now, address, wasStale):
				return errNotNeeded
			}
			return nil
		},
	})
	if cause := context.Cause(ctx); errors.Is(cause, errReplaced) {
		err = cause
	}
	feedClient.endAttempt(time.Now(), address, err)
	if !errors.Is(err, context.Canceled) {
		f.Log.Info("feed_ended", zap.String("reader", address), positionField(f.Fleet.Revision()), zap.Error(err))
	}
}
