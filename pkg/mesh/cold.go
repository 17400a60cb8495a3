package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// healthTimeout is the timeout of a health request to the upstream, which is on the same host.
	healthTimeout = time.Second
	// maxHealthResponse bounds the body of its response in bytes.
	maxHealthResponse = 64 << 10
	// noRuleRetry is the Retry-After of jobs that arrive before the first table.
	noRuleRetry = 100 * time.Millisecond
	// maxBodyDelay is the time for which an admitted job may wait for its body and still count at its
	// admission. The rate allows for 100 ms between the admission of a request and its arrival.
	maxBodyDelay = 50 * time.Millisecond
	// coldLimitTolerance is the part of a cold upstream's rate by which the limit in a job may differ from
	// it, because it is rounded.
	coldLimitTolerance = 0.01
)

// Events after which an upstream is assumed cold, as they are logged.
const (
	coldAtStart     = "start"
	coldRefused     = "connection_refused"
	coldDropped     = "connection_dropped"
	coldReplaced    = "another_process"
	coldListed      = "instance_list"
	coldResumed     = "requests_resumed"
	coldIdle        = "idle"
	coldByItsReport = "reported"
)

// coldGuard is the part of a guard for upstreams that take few requests while they are cold.
type coldGuard struct {
	service          string
	ratio, allowance float64
	healthPath       string
	client           *exchange.Client
	// wake has a value when a health request may be due earlier than planned.
	wake chan struct{}
	// ruled is set once a table has told what a cold upstream takes.
	ruled bool
	// since is the begin of the cold phase, zero while the upstream is warm. refusedBefore is the number
	// of refusals until then.
	since         time.Time
	refusedBefore int64
	// refused counts the jobs refused because the upstream is cold, asked the health requests.
	refused, asked atomic.Int64
}

// SetColdBounds sets the upstream's service and the bound for requests to a cold upstream. A ratio of 0
// means that the platform has no such rule; the rate in the table then is the bound.
func (g *Guard) SetColdBounds(service string, ratio, allowance float64) {
	g.cold.service, g.cold.ratio, g.cold.allowance = service, ratio, allowance
}

// unready reports whether jobs are refused because no table has told yet what the upstream takes while it
// is cold. It never is on platforms without that rule. The caller holds the mutex.
func (g *Guard) unready() bool { return g.cold.ratio > 0 && !g.cold.ruled }

// applyColdRule applies what a view says about cold upstreams. The caller holds the mutex.
func (g *Guard) applyColdRule(now time.Time, v *catalog.View) {
	service, _ := v.Table.Service(g.cold.service) // the zero value has no rate
	rule := intake.ColdRule{
		PerSecond: service.ColdPerSecond, Start: service.ColdStart, Ratio: g.cold.ratio, Allowance: g.cold.allowance, Health: service.HealthPath != "",
	}
	if rule.Ratio <= 0 {
		rule.Ratio, rule.Allowance = 1, 0
	}
	g.cold.ruled, g.cold.healthPath = true, service.HealthPath
	if g.queue.SetColdRule(now, rule) {
		g.wakeHealth()
	}
	g.noteCold(now, coldAtStart)
	g.schedule(now)
}

// hearListedCold applies the remaining cold time in the entry of the upstream's instance: of a new
// incarnation, or if it has become longer. An entry of the same incarnation, or the first one that this
// daemon knows, may have been written before the upstream became cold, so that it only lengthens a cold
// phase. The caller holds the mutex.
func (g *Guard) hearListedCold(now time.Time, old, current *catalog.Instance) {
	if current.Warm <= 0 {
		return
	}
	if old == nil || old.ID == current.ID && current.Incarnation <= old.Incarnation {
		if old != nil && current.Warm <= old.Warm {
			return
		}
		until, active := g.queue.Cold(now)
		if active && (until.IsZero() || !until.Before(now.Add(current.Warm))) {
			return
		}
	}
	g.queue.AssumeCold(now, false)
	g.queue.ReportCold(now, now, current.Warm)
	g.noteCold(now, coldListed)
	g.wakeHealth()
}

// assumeCold records an event after which the upstream may be cold. replaced says that all requests until
// now are known to have gone to a process that is gone. The caller holds the mutex.
func (g *Guard) assumeCold(now time.Time, reason string, replaced bool) {
	g.queue.AssumeCold(now, replaced)
	g.noteCold(now, reason)
	g.wakeHealth()
	g.schedule(now)
}

// recordExchange records what the end of an exchange with the upstream, which began at the given time, says
// about its process: it has responded, or has closed the connection without a response. A connection that
// fails at once may have been closed long before, so that the process at the address has got further
// requests since.
func (g *Guard) recordExchange(ctx context.Context, began time.Time, err error) {
	var failed *exchange.Error
	var over *exchange.BoundError
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		g.queue.Responded(now, began)
		g.schedule(now)
	case ctx.Err() != nil, errors.As(err, &over), errors.Is(err, exchange.ErrAbandoned): // this side ended it
	case errors.As(err, &failed) && failed.Sent:
		g.assumeCold(now, coldDropped, !reusedConnFailed(err) || now.Sub(began) >= immediateFailureLimit)
	}
}

// connectionRefused records that the upstream does not accept connections. The caller holds the mutex.
func (g *Guard) connectionRefused(now time.Time) {
	g.queue.ConnectionRefused(now)
	g.noteCold(now, coldRefused)
	g.wakeHealth()
}

// noteCold logs the begin and the end of a cold phase. The reason is that of the begin. The caller holds
// the mutex.
func (g *Guard) noteCold(now time.Time, reason string) {
	_, active := g.queue.Cold(now)
	switch {
	case active && g.cold.since.IsZero():
		g.cold.since, g.cold.refusedBefore = now, g.cold.refused.Load()
		g.log.log.Info("upstream_cold", zap.String("instance", string(g.instanceID())), zap.String("reason", reason), zap.Float64("per_second", g.queue.ColdRate(now)))
	case !active && !g.cold.since.IsZero():
		g.log.log.Info("upstream_warm", zap.String("instance", string(g.instanceID())), zap.Duration("after", now.Sub(g.cold.since)),
			zap.Int64("refused", g.cold.refused.Load()-g.cold.refusedBefore))
		g.cold.since = time.Time{}
		g.notifyRecheck()
	}
}

// countColdRefusal counts the refusal of a job if the upstream's coldness is its cause, and says so. The
// caller holds the mutex.
func (g *Guard) countColdRefusal(now time.Time, v intake.Verdict) bool {
	if v != intake.Busy && v != intake.Overloaded || !g.queue.ShortOfColdRate(now) {
		return false
	}
	g.cold.refused.Add(1)
	return true
}

// Cold returns the rate to which requests are limited because the upstream counts as cold; it is 0 if
// they are not.
func (g *Guard) Cold() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ColdRate(time.Now())
}

// wakeHealth makes watchHealth look again at when a health request is due.
func (g *Guard) wakeHealth() {
	select {
	case g.cold.wake <- struct{}{}:
	default: // it will look anyway
	}
}

// wakeIfHealthDue wakes watchHealth if a call has made a health request due. The caller holds the mutex.
func (g *Guard) wakeIfHealthDue(now time.Time) {
	if at, ok := g.queue.NextHealth(now); ok && !now.Before(at) {
		g.noteCold(now, coldIdle)
		g.wakeHealth()
	}
}

// watchHealth asks the upstream for its remaining cold time whenever that is due, until the context ends.
// It sends nothing to upstreams of services without a rate.
func (g *Guard) watchHealth(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		path, next, due := g.nextHealth(time.Now())
		if due {
			g.askHealth(ctx, path)
			if ctx.Err() == nil {
				continue
			}
			return
		}
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.cold.wake:
		}
	}
}

// nextHealth reports whether a health request to the path is due now, and charges it. Otherwise it returns
// the time after which to look again.
func (g *Guard) nextHealth(now time.Time) (path string, next time.Duration, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteCold(now, coldByItsReport)
	if g.queue.AskHealth(now) {
		g.cold.asked.Add(1)
		return g.cold.healthPath, 0, true
	}
	next = time.Hour
	if at, ok := g.queue.NextHealth(now); ok {
		next = min(next, at.Sub(now))
	}
	if until, active := g.queue.Cold(now); active && !until.IsZero() {
		next = min(next, until.Sub(now))
	}
	return "", max(next, time.Millisecond), false
}

// askHealth sends a health request and applies its result.
func (g *Guard) askHealth(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := g.cold.client.Do(ctx, &exchange.Request{
		Address: g.address, Method: http.MethodGet, Target: path, Host: g.address,
		Header: http.Header{g.headers.Remaining: {strconv.FormatInt(healthTimeout.Milliseconds(), 10)}},
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var failed *exchange.Error
	switch {
	case err == nil:
		if remaining, ok := g.reportedCold(resp); ok {
			g.queue.ReportCold(now, sent, remaining)
		} else {
			g.queue.Responded(now, sent)
		}
		resp.Release()
	case ctx.Err() != nil: // no information
	case errors.As(err, &failed) && !failed.Sent:
		g.connectionRefused(now)
	default:
		g.assumeCold(now, coldDropped, false)
	}
	g.noteCold(now, coldByItsReport)
	g.schedule(now)
}

// reportedCold returns the remaining cold time that a response to a health request reports; ok is false if
// it reports none. An upstream that is not cold names its instance without a remaining time.
func (g *Guard) reportedCold(resp *exchange.Response) (remaining time.Duration, ok bool) {
	text := resp.Header.Get(g.headers.Cold)
	if text == "" {
		return 0, resp.Header.Get(g.headers.Instance) != ""
	}
	return parseCold(text)
}

// parseCold parses the remaining cold time in milliseconds. It returns false if the text is not one. The
// result is a millisecond longer unless it is 0, because the upstream rounds down.
func parseCold(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	if ms > 0 {
		ms++
	}
	return time.Duration(ms) * time.Millisecond, true
}

// chargeLateBody counts a job again whose body has taken long to arrive since the job was admitted: bodies
// that arrive together would otherwise reach a cold upstream at once. It waits until the rate allows the
// job, or returns a refusal if that takes too long or the job must not be sent any more. The run time of a
// job that has waited begins afterwards, so that the upstream does not look slow.
func (g *Guard) chargeLateBody(ctx context.Context, j *Job, call *intake.Call, admitted time.Time) *refusal.Refusal {
	if time.Since(admitted) <= maxBodyDelay {
		return nil
	}
	for {
		g.mu.Lock()
		now := time.Now()
		refused := g.checkSend(now, j)
		wait, charged, recheck := g.queue.ColdWait(now), true, g.recheck
		if refused == nil && g.queue.ColdRate(now) > 0 {
			charged = g.queue.Charge(now)
		}
		if charged && call.AwaitingBody {
			g.queue.RestartRun(now, call)
		}
		call.AwaitingBody = !charged
		g.mu.Unlock()
		if refused != nil || charged {
			return refused
		}
		if !now.Add(wait).Before(j.Deadline) {
			return coldRefusal(wait)
		}
		select {
		case <-ctx.Done():
			return notRun(refusal.Cut, "the caller has disconnected", 0)
		case <-recheck:
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
}

// isColdLimit reports whether the limit in a job is the rate of a cold upstream, which this daemon applies
// by itself. The caller holds the mutex.
func (g *Guard) isColdLimit(limit float64) bool {
	rate := g.queue.ColdRuleRate()
	return rate > 0 && limit > rate*(1-coldLimitTolerance) && limit < rate*(1+coldLimitTolerance)
}

// coldRefusal returns the refusal of a job that a cold upstream does not take.
func coldRefusal(after time.Duration) *refusal.Refusal {
	return notRun(refusal.Overloaded, "the upstream is cold and takes few requests; try again later", after)
}
