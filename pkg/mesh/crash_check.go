package mesh

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// crashDialTimeout is the timeout for connecting to the upstream to find out whether it has
	// crashed, while the result of a request waits for it. The upstream is on the same host, where a
	// refused connection takes less than a millisecond.
	crashDialTimeout = 50 * time.Millisecond
	// silentDialTimeout is the timeout of a connection that nobody waits for. An upstream on the same
	// host that accepts none for so long is down, even if it does not refuse them.
	silentDialTimeout = 400 * time.Millisecond
	// crashRecheckDelay is the time after which an upstream that broke a connection and still accepts
	// others is checked again: a process that ends may accept connections for a moment longer.
	crashRecheckDelay = 500 * time.Millisecond
)

// Evidence of a crash, as it is logged.
const (
	evidenceRefused  = "connection_refused"
	evidenceSilent   = "no_connection"
	evidenceReplaced = "another_instance"
)

// checkCrash finds out whether the upstream has crashed while it ran a request that began at the
// given time and has ended without an answer. The result of a request whose connection broke is sent
// only after this check, because its gossip brings the new quarantine entries to the daemon that may
// retry the request.
func (g *Guard) checkCrash(res *Result, began time.Time) {
	switch {
	case res.Response != nil:
	case res.connectionRefused:
		g.suspects.recordCrash(time.Now(), evidenceRefused, quarantine.DetectionDelay)
	case !res.Arrived || res.Refusal.Run == refusal.NotRun:
	case res.Refusal.Kind == refusal.UpstreamFailed:
		if g.dialFindsCrash(crashDialTimeout) {
			return
		}
		g.checkCrashLater(crashRecheckDelay)
	case !g.answeredSince(began):
		// The deadline has passed or the caller has left, and the upstream has answered nothing else.
		g.checkCrashLater(0)
	}
}

// checkCrashLater checks in the background, after the delay, whether the upstream accepts connections.
// Only one such check is due at a time.
func (g *Guard) checkCrashLater(delay time.Duration) {
	if g.checkDue.Swap(true) {
		return
	}
	time.AfterFunc(delay, func() {
		g.checkDue.Store(false)
		g.dialFindsCrash(silentDialTimeout)
	})
}

// dialFindsCrash connects to the upstream and records a crash if that is refused, or impossible for
// the time of silentDialTimeout. It reports whether it recorded one.
func (g *Guard) dialFindsCrash(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := g.client.Dial(ctx, g.address)
	switch {
	case err == nil:
		_ = conn.Close()
		return false
	case isRefused(err):
		g.suspects.recordCrash(time.Now(), evidenceRefused, quarantine.DetectionDelay)
		return true
	case timeout >= silentDialTimeout && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)):
		g.suspects.recordCrash(time.Now(), evidenceSilent, quarantine.DetectionDelay)
		return true
	}
	return false
}

// isRefused reports whether a connection failed because nothing listens at the address.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// checkReplaced records a crash if another instance has taken the place of one that had not been
// leaving. The caller holds the mutex.
func (g *Guard) checkReplaced(now time.Time, old, current *catalog.Instance) {
	if old == nil || current == nil || g.leaving() {
		return
	}
	if current.ID != old.ID || current.Incarnation > old.Incarnation {
		g.suspects.recordCrash(now, evidenceReplaced, quarantine.ReplacementDelay)
	}
}

// markAnswered records that the upstream has answered.
func (g *Guard) markAnswered(now time.Time) { g.answeredAt.Store(now.UnixNano()) }

// answeredSince reports whether the upstream has answered a request since the given time.
func (g *Guard) answeredSince(at time.Time) bool { return g.answeredAt.Load() >= at.UnixNano() }
