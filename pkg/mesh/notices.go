package mesh

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// maxLimitLength bounds the text of a limit in bytes; a longer one is no figure of an upstream.
const maxLimitLength = 32

// notices is what the upstream has said of itself in its responses. It belongs to one process at the
// upstream's address.
type notices struct {
	// instance is the instance that has answered, empty before the first answer. From then on the
	// upstream's own word counts. The answer may come before the store lists the instance here.
	instance model.InstanceID
	// leaving is set once the upstream has said that it is leaving. It does not take that back.
	leaving bool
}

// parseLimit parses a limit in requests per second. It returns false if the text is not a number that
// can be one.
func parseLimit(text string) (float64, bool) {
	if text == "" || len(text) > maxLimitLength {
		return 0, false
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(limit, 0) || math.IsNaN(limit) || limit < 0 {
		return 0, false
	}
	return limit, true
}

// hearNotices applies what a response of an instance says about its limit and its leaving.
func (g *Guard) hearNotices(now time.Time, from model.InstanceID, h http.Header) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.notices.instance != "" && g.notices.instance != from {
		if g.hasDeparted(now, from) {
			return // a late answer of the instance before
		}
		g.forgetNotices(now)
	}
	g.notices.instance = from
	g.applyLimit(now, h.Get(g.headers.Limit))
	if h.Get(g.headers.Leaving) != "" && !g.notices.leaving {
		g.notices.leaving = true
		g.log.log.Info("upstream_leaving", zap.String("instance", string(from)))
		g.queue.Close()
		g.notifyRecheck()
	}
	g.schedule(now)
}

// applyLimit applies the limit in a response, or its absence. A text that is no limit changes nothing.
// The caller holds the mutex.
func (g *Guard) applyLimit(now time.Time, text string) {
	if text == "" {
		if g.queue.LiftLimit(now) {
			g.log.log.Info("upstream_limit_lifted", zap.String("instance", string(g.instanceID())))
		}
		return
	}
	limit, ok := parseLimit(text)
	if !ok {
		if g.log.allowLine(g.log.failures) {
			g.log.log.Warn("upstream_limit_rejected", zap.String("instance", string(g.instanceID())), zap.String("reason", "not a number of requests per second"))
		}
		return
	}
	if g.queue.SetLimit(now, limit) {
		g.log.log.Info("upstream_limited", zap.String("instance", string(g.instanceID())), zap.Float64("per_second", limit))
	}
}

// adoptLimit applies the limit that the sender of a job knows, until the upstream has answered itself:
// this daemon may have started while the limit was in force. The caller holds the mutex.
func (g *Guard) adoptLimit(now time.Time, j *Job) {
	if g.notices.instance != "" || j.Limit <= 0 || g.queue.Limit(now) > 0 || g.isColdLimit(j.Limit) {
		return
	}
	g.queue.SetLimit(now, j.Limit)
	g.log.log.Info("upstream_limited", zap.String("instance", string(j.Instance)), zap.Float64("per_second", j.Limit), zap.String("source", "sender"))
}

// resetNotices forgets what another process at the upstream's address has said. The caller holds the
// mutex.
func (g *Guard) resetNotices(now time.Time, old, current *catalog.Instance) {
	switch {
	case old == nil || current == nil:
	case current.ID == old.ID && current.Incarnation > old.Incarnation:
		g.forgetNotices(now)
	case current.ID != old.ID && current.ID != g.notices.instance:
		g.forgetNotices(now)
	}
}

// forgetNotices forgets what an earlier process has said. The requests sent until now keep counting,
// because the new process may have got some of them before its entry or its first response arrived. The
// caller holds the mutex.
func (g *Guard) forgetNotices(now time.Time) {
	g.notices = notices{}
	g.queue.ResetLimit(now)
	g.queue.ResetHostPace()
	g.assumeCold(now, coldReplaced, false)
}

// instanceID returns the ID of the upstream's instance, empty if it is not known. The caller holds the
// mutex.
func (g *Guard) instanceID() model.InstanceID {
	if g.instance == nil {
		return ""
	}
	return g.instance.ID
}

// Limit returns the number of requests per second that the upstream takes, 0 if there is no limit.
func (g *Guard) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Limit(time.Now())
}

// headerNotices carries the limit of an upstream in requests per second, 0 for none, and in results
// leavingNotice behind a semicolon if the upstream is leaving, and coldNotice if the limit is the rate of
// a cold upstream. It is sent only if there is something to say.
const (
	headerNotices = refusal.HeaderPrefix + "Notices"
	leavingNotice = "leaving"
	coldNotice    = "cold"
)

// encodeNotices returns the value of headerNotices, empty if there is nothing to say.
func encodeNotices(limit float64, leaving, cold bool) string {
	if limit <= 0 && !leaving {
		return ""
	}
	text := strconv.FormatFloat(limit, 'g', 6, 64)
	if leaving {
		text += ";" + leavingNotice
	}
	if cold {
		text += ";" + coldNotice
	}
	return text
}

// decodeNotices reverses encodeNotices. A text that it has not written says nothing.
func decodeNotices(text string) (limit float64, leaving, cold bool) {
	number, rest, _ := strings.Cut(text, ";")
	limit, ok := parseLimit(number)
	if !ok {
		return 0, false, false
	}
	for notice := range strings.SplitSeq(rest, ";") {
		leaving, cold = leaving || notice == leavingNotice, cold || notice == coldNotice
	}
	return limit, leaving, cold
}
