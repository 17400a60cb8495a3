package upstream

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/refusal"
)

// handOverTimeout bounds the hand-over of keys, so that a stop does not wait for peers that
// are dead or stop at the same time.
const handOverTimeout = 3 * time.Second

// DrainError reports requests that outlasted a drain.
type DrainError struct {
	Requests int
	Err      error
}

// Error names the remedy.
func (e *DrainError) Error() string {
	return fmt.Sprintf("%d requests at the upstream outlasted the drain: %v; raise drain_timeout_seconds, or lower deadline_ms of the row", e.Requests, e.Err)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// Drain refuses new work and waits for running requests until the context ends. What still
// waits for its answer then is given up: it is refused as may-have-run, and the upstream's
// connection is closed. The error is a *DrainError.
func (g *Guard) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.queue.Close()
	g.mu.Unlock()
	g.keys.leave()
	for {
		g.mu.Lock()
		active := g.active
		g.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-g.idle:
		case <-ctx.Done():
			g.giveUp()
			return &DrainError{Requests: active, Err: ctx.Err()}
		}
	}
}

// HandOver hands the keys over after a Drain, as soon as no keyed request runs. Keys that no
// peer takes before the context ends, or in 3 s, are logged.
func (g *Guard) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := g.keys.handOver(ctx); err != nil {
		g.log.Warn("keys_not_handed_over", zap.Error(err),
			zap.String("remedy", "none needed: successors answer unknown_outcome for these keys"))
	}
}

// begin and end count what Drain waits for.
func (g *Guard) begin() {
	g.mu.Lock()
	g.active++
	g.mu.Unlock()
}

func (g *Guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 {
		select {
		case g.idle <- struct{}{}:
		default:
		}
	}
}

// stopped returns the refusal of a request that the end of a drain has ended.
func stopped(run refusal.Run) *refusal.Refusal {
	if run == refusal.NotRun {
		return notRun(refusal.Leaving, "the instance is leaving; send the request to another one")
	}
	return &refusal.Refusal{
		Kind: refusal.Cut, Run: run, Remedy: "the daemon stopped before the upstream answered; check the outcome before you repeat the request",
	}
}
