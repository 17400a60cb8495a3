package mesh

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// slowFraction is the fraction of the route's timeout from which a successful request is logged as
// slow.
const slowFraction = 0.75

// requestLog logs the outcome of individual requests, up to a limit of lines per second. Lines over
// the limit are counted, and the next line reports their number.
type requestLog struct {
	log *zap.Logger
	// failures limits the lines about failed requests, served those about successful ones.
	failures, served *rate.Limiter
	suppressed       atomic.Uint64
}

// servedDivisor is the divisor of the line limit for lines about successful requests. They have a
// smaller limit of their own because operators look for failures.
const servedDivisor = 5

func newRequestLog(log *zap.Logger, linesPerSecond int) *requestLog {
	limiter := func(n int) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), 2*n) }
	return &requestLog{log: log, failures: limiter(linesPerSecond), served: limiter(max(1, linesPerSecond/servedDivisor))}
}

// allowLine reports whether the limiter permits another line, and counts the line as suppressed if not.
func (d *requestLog) allowLine(limiter *rate.Limiter) bool {
	if limiter.Allow() {
		return true
	}
	d.suppressed.Add(1)
	return false
}

func (d *requestLog) write(event string, fields []zap.Field) {
	if n := d.suppressed.Swap(0); n > 0 {
		fields = append(fields, zap.Uint64("suppressed", n))
	}
	d.log.Info(event, fields...)
}

// logRejection logs a request that was refused before an instance was chosen for it.
func (d *requestLog) logRejection(id, host, path string, r *refusal.Refusal) {
	if !d.allowLine(d.failures) {
		return
	}
	d.write("request_rejected", []zap.Field{
		zap.String("request", id), zap.String("kind", string(r.Kind)), zap.String("run", r.Run.String()),
		zap.Int("status", r.StatusCode()), zap.String("host", host), zap.String("path", path), zap.String("remedy", r.Remedy),
	})
}

// logOutcome logs the outcome of a request for which instances were tried, unless the first attempt
// succeeded without being slow.
func (d *requestLog) logOutcome(req *request, outcome string, res *Result) {
	now := time.Now()
	elapsed := now.Sub(req.arrived)
	if res.Response != nil && req.upstreamAttempts+req.refusals <= 1 && res.Response.Status < 500 && elapsed < time.Duration(slowFraction*float64(req.route.Timeout)) {
		return
	}
	limiter := d.failures
	if res.Response != nil && res.Response.Status < 500 {
		limiter = d.served
	}
	if !d.allowLine(limiter) {
		return
	}
	fields := []zap.Field{
		zap.String("request", req.id), zap.String("outcome", outcome), zap.String("route", req.route.Name), zap.Uint64("version", req.version),
		zap.String("service", req.service), zap.Duration("took", elapsed), zap.Duration("left", req.deadline.Sub(now)),
		zap.Bool("returning", req.returning), zap.Int("sent", req.upstreamAttempts), zap.Int("refusals", req.refusals),
	}
	if req.repeatDenied {
		fields = append(fields, zap.String("repeat_denied", req.repeat.String()))
	}
	if res.CallFailed {
		fields = append(fields, zap.Bool("call_failed", true))
	}
	if req.stoppingFor > 0 {
		fields = append(fields, zap.Duration("arrived_after_stop", req.stoppingFor))
	}
	if req.lastInstance != "" {
		fields = append(fields, zap.String("last_instance", string(req.lastInstance)))
	}
	if u := req.unusable; u != nil {
		fields = append(fields, zap.Int("tried", u.Tried), zap.Int("unreachable", u.Unreachable), zap.Int("leaving", u.Leaving), zap.Int("over_limit", u.OverLimit))
	}
	if res.Load.Slots > 0 {
		fields = append(fields, zap.String("load", encodeLoad(res.Load)))
	}
	if res.Refusal != nil {
		fields = append(fields, zap.String("run", res.Refusal.Run.String()), zap.String("reason", res.Refusal.Remedy),
			zap.Duration("retry_after", res.Refusal.RetryAfter))
	}
	d.write("request_ended", fields)
}

// logUpstreamRefusal logs a refusal by the guard. It omits refusals because of a full upstream if the request
// could not wait: the sending daemon then tries another instance.
func (d *requestLog) logUpstreamRefusal(j *Job, res *Result) {
	r := res.Refusal
	if (r.Kind == refusal.Overloaded && !j.MayWait && !res.Arrived) || !d.allowLine(d.failures) {
		return
	}
	d.write("upstream_refused", []zap.Field{
		zap.String("request", j.ID), zap.String("instance", string(j.Instance)), zap.String("route", j.Route), zap.String("kind", string(r.Kind)),
		zap.String("run", r.Run.String()), zap.Bool("arrived", res.Arrived), zap.String("load", encodeLoad(res.Load)),
		zap.Duration("left", time.Until(j.Deadline)), zap.String("reason", r.Remedy),
	})
}

// logNotTaken logs a response that its receiver, a caller or another daemon, has not taken, unless the
// receiver has disconnected.
func (d *requestLog) logNotTaken(id, receiver string, resp *exchange.Response, err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !d.allowLine(d.failures) {
		return
	}
	d.write("response_not_taken", []zap.Field{
		zap.String("request", id), zap.String("receiver", receiver), zap.Int("bytes", len(resp.Body)),
		zap.String("reason", "the receiver does not read the response in time; see whether it still runs and whether its link is full"),
	})
}
