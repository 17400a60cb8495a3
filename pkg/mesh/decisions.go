package mesh

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"mangoshed.example/mangoshed/core/refusal"
)

// slowShare is the part of the timeout from which on an answered request is logged.
const slowShare = 0.75

// decisions logs what was decided about single requests, within a bound of lines per second.
// Lines beyond it are counted and reported with the next line.
type decisions struct {
	log *zap.Logger
	// failures bounds the lines about requests that were not served, served those about the others.
	failures, served *rate.Limiter
	suppressed       atomic.Uint64
}

// servedShare is the part of the bound that lines about served requests may take besides, as
// 1 in that many: a failure is what operators look for.
const servedShare = 5

func newDecisions(log *zap.Logger, linesPerSecond int) *decisions {
	limiter := func(n int) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), 2*n) }
	return &decisions{log: log, failures: limiter(linesPerSecond), served: limiter(max(1, linesPerSecond/servedShare))}
}

// allow takes a line from a bound.
func (d *decisions) allow(limiter *rate.Limiter) bool {
	if limiter.Allow() {
		return true
	}
	d.suppressed.Add(1)
	return false
}

func (d *decisions) write(event string, fields []zap.Field) {
	if n := d.suppressed.Swap(0); n > 0 {
		fields = append(fields, zap.Uint64("suppressed", n))
	}
	d.log.Info(event, fields...)
}

// rejected logs a request that was refused before it was placed.
func (d *decisions) rejected(id, host, path string, r *refusal.Refusal) {
	if !d.allow(d.failures) {
		return
	}
	d.write("request_rejected", []zap.Field{
		zap.String("request", id), zap.String("kind", string(r.Kind)), zap.String("run", r.Run.String()),
		zap.Int("status", r.StatusCode()), zap.String("host", host), zap.String("path", path), zap.String("remedy", r.Remedy),
	})
}

// ended logs the outcome of a placed request, unless it was answered at the first attempt and
// in time.
func (d *decisions) ended(req *request, outcome string, res *Result) {
	now := time.Now()
	took := now.Sub(req.arrived)
	if res.Answer != nil && req.sent+req.refusals <= 1 && res.Answer.Status < 500 && took < time.Duration(slowShare*float64(req.route.Timeout)) {
		return
	}
	limiter := d.failures
	if res.Answer != nil && res.Answer.Status < 500 {
		limiter = d.served
	}
	if !d.allow(limiter) {
		return
	}
	fields := []zap.Field{
		zap.String("request", req.id), zap.String("outcome", outcome), zap.String("route", req.route.Name), zap.Uint64("version", req.version),
		zap.String("service", req.service), zap.Duration("took", took), zap.Duration("left", req.deadline.Sub(now)),
		zap.Bool("returning", req.returning), zap.Int("sent", req.sent), zap.Int("refusals", req.refusals),
	}
	if req.stoppedFor > 0 {
		fields = append(fields, zap.Duration("arrived_after_stop", req.stoppedFor))
	}
	if req.last != "" {
		fields = append(fields, zap.String("last_instance", string(req.last)))
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

// refused logs a refusal of the guard, but for those for a full upstream, which only make the
// other daemon look elsewhere.
func (d *decisions) refused(j *Job, res *Result) {
	r := res.Refusal
	if (r.Kind == refusal.Overloaded && !j.MayWait && !res.Arrived) || !d.allow(d.failures) {
		return
	}
	d.write("upstream_refused", []zap.Field{
		zap.String("request", j.ID), zap.String("instance", string(j.Instance)), zap.String("route", j.Route), zap.String("kind", string(r.Kind)),
		zap.String("run", r.Run.String()), zap.Bool("arrived", res.Arrived), zap.String("load", encodeLoad(res.Load)),
		zap.Duration("left", time.Until(j.Deadline)), zap.String("reason", r.Remedy),
	})
}
