package mesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/closing"
)

// maxAheadBytes bounds the bytes of requests that are read ahead on a connection: 16 requests whose heads
// have the usual limit of 4 kB.
const maxAheadBytes = 64 << 10

// Events of pipelined requests in the metrics, and the outcome of those whose result was dropped.
const (
	aheadStarted   = "started"
	aheadDropped   = "dropped"
	outcomeDropped = "dropped"
)

// pipelining returns the configuration of the callers' server for so many requests that run ahead on each
// connection; nil for none.
func (i *Ingress) pipelining(requests int) *closing.Pipelining {
	if requests <= 0 {
		return nil
	}
	return &closing.Pipelining{Requests: requests, Bytes: maxAheadBytes, Start: i.startAhead}
}

// pipelineOf returns the read-ahead of a request's connection.
func pipelineOf(r *http.Request) closing.Pipeline {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return closing.PipelineOf(conn)
}

// mayRunAhead reports whether a request of the route may run before the requests before it have been
// answered, and those behind it before it has.
func mayRunAhead(r *http.Request, matched *route.Route) bool {
	return r.ContentLength == 0 && matched.Kind.MayRepeat()
}

// aheadRun is a pipelined request that runs before the requests before it have been answered. It counts
// as active until its handler has begun to respond or it has been dropped and has ended.
type aheadRun struct {
	ingress *Ingress
	r       *http.Request
	req     *request         // nil if it was refused
	refused *refusal.Refusal // before an instance was chosen
	cancel  context.CancelCauseFunc
	memory  int64         // taken from the budget; returned when the run has been answered, or dropped and has ended
	done    chan struct{} // closed when res is set

	res     Result
	mu      sync.Mutex
	ended   bool
	dropped bool
}

// startAhead starts a request that was read ahead, if it may run before the requests before it have been
// answered. Its arrival is the time of the call, at which the request has just been read or a bound or
// barrier that held it back has ended. It does not wait: the table is there and the request has no body. A request
// that finds no memory for a run waits for the responses before it.
func (i *Ingress) startAhead(c net.Conn, r *http.Request) (closing.Run, bool) {
	view := i.fleet.View()
	if view.Table == nil || i.plan.Load() != nil {
		return nil, false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	matched := view.Table.Match(r.Host, path)
	if matched == nil || !mayRunAhead(r, matched) {
		return nil, false
	}
	memory, ok := i.bodies.takeAhead(r)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithCancelCause(withConnection(i.requestsCtx, c))
	run := &aheadRun{ingress: i, r: r.WithContext(ctx), cancel: cancel, memory: memory, done: make(chan struct{})}
	run.req, run.refused = i.acceptIn(nil, run.r, nil, time.Now(), view) // its head is part of the memory of the run
	i.active.Add(1)
	i.metrics.pipelined.WithLabelValues(aheadStarted).Inc()
	if run.req == nil {
		run.end(Result{Refusal: run.refused})
		return run, true
	}
	run.req.job.Disconnected = func() bool { return senderDisconnected(run.r) }
	go run.send(ctx)
	return run, true
}

// send sends the request to instances.
func (a *aheadRun) send(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, a.req.deadline)
	defer cancel()
	res := Result{Refusal: &refusal.Refusal{Kind: refusal.UpstreamFailed, Run: refusal.MayHaveRun, Remedy: "the daemon failed; see its log"}}
	defer func() {
		// net/http recovers panics of handlers only.
		if failed := recover(); failed != nil {
			a.ingress.log.log.Error("request_panicked", zap.String("request", a.req.id), zap.String("panic", fmt.Sprint(failed)), zap.ByteString("stack", debug.Stack()))
		}
		a.end(res)
	}()
	res = a.ingress.send(ctx, a.req)
}

// end records the result.
func (a *aheadRun) end(res Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.res, a.ended = res, true
	close(a.done)
	a.discard()
}

// Drop cancels the run and drops its result, which is released at once if the run has ended.
func (a *aheadRun) Drop() {
	a.cancel(context.Canceled)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.dropped {
		a.dropped = true
		a.discard()
	}
}

// discard releases the result of a run that was dropped and has ended. The caller holds the mutex.
func (a *aheadRun) discard() {
	if !a.dropped || !a.ended {
		return
	}
	a.res.Response.Release()
	a.ingress.bodies.returnAhead(a.memory)
	a.ingress.metrics.pipelined.WithLabelValues(aheadDropped).Inc()
	if a.req != nil {
		a.ingress.metrics.recordOutcome(a.req, outcomeDropped)
	}
	a.ingress.active.Add(-1)
}

// takeAhead returns the run of a request that was started ahead; nil if there is none.
func (i *Ingress) takeAhead(p closing.Pipeline, r *http.Request) *aheadRun {
	run, ok := p.Take().(*aheadRun)
	if !ok {
		return nil
	}
	if run.r.Method != r.Method || run.r.RequestURI != r.RequestURI || run.r.Host != r.Host {
		// The connection and net/http disagree about where a request begins. Requests that run
		// ahead may be repeated, so this one is handled as if it had not been started.
		i.log.log.Error("pipeline_mismatch", zap.String("read", run.r.RequestURI), zap.String("handled", r.RequestURI))
		run.Drop()
		return nil
	}
	return run
}

// answerAhead responds to a request that was started ahead once its result is there.
func (i *Ingress) answerAhead(w http.ResponseWriter, r *http.Request, run *aheadRun) {
	defer i.active.Add(-1)
	defer i.bodies.returnAhead(run.memory)
	defer run.cancel(nil)
	select {
	case <-run.done:
	case <-r.Context().Done():
		run.cancel(context.Cause(r.Context()))
		<-run.done
	}
	if run.req == nil {
		i.refuse(w, r, nil, run.refused)
		return
	}
	i.respond(w, r, run.req, run.res)
}
