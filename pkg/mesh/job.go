package mesh

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// Headers between daemons. Those of callers with the prefix are removed.
const (
	headerRoute     = refusal.HeaderPrefix + "Route"
	headerRemaining = refusal.HeaderRemaining
	headerGoal      = refusal.HeaderPrefix + "Goal-Ms"
	headerObjective = refusal.HeaderPrefix + "Objective-Ms"
	headerPriority  = refusal.HeaderPrefix + "Priority"
	headerFlags     = refusal.HeaderPrefix + "Flags"
	headerInstance  = refusal.HeaderPrefix + "Instance"
	headerCaller    = refusal.HeaderPrefix + "Caller"
	headerLoad      = refusal.HeaderLoad
	headerRevision  = refusal.HeaderPrefix + "Revision"
	headerArrived   = refusal.HeaderPrefix + "Arrived"
	headerRun       = refusal.HeaderPrefix + "Run-Us"
)

// Flags of a job.
const (
	flagMayWait   = 'w'
	flagReturning = 'r'
	flagRepeat    = 's'
)

// Job is a request on its way to one instance.
type Job struct {
	Instance model.InstanceID
	// Service is that of the instance.
	Service string
	Route   string
	// Caller is the service beside the daemon at which the request arrived.
	Caller   string
	Priority int
	// MayWait lets the request wait for a slot; Returning says that its caller was refused
	// before; MayRepeat that it may run more than once.
	MayWait, Returning, MayRepeat bool
	Goal, Deadline                time.Time
	Objective                     time.Duration

	Method, Target, Host, ID string
	Header                   http.Header
	Body                     []byte
	HasBody                  bool
}

// Result is what became of a job. Exactly one of Answer and Refusal is set.
type Result struct {
	Answer  *exchange.Response
	Refusal *refusal.Refusal
	// Load is the load of the upstream; its slots are 0 if unknown.
	Load intake.Load
	// Run is the time that the upstream took.
	Run time.Duration
	// Arrived says that the upstream itself saw the request, also if it refused it.
	Arrived bool
	// Unreachable says that the daemon beside the instance gave no answer.
	Unreachable bool
}

// encode returns the request to the daemon beside the instance.
func (j *Job) encode(now time.Time, address string, revision uint64) *exchange.Request {
	h := make(http.Header, len(j.Header)+10)
	for name, values := range j.Header {
		h[name] = values
	}
	set := func(name, value string) { h[name] = []string{value} }
	set(headerInstance, string(j.Instance))
	set(headerRoute, j.Route)
	set(headerCaller, j.Caller)
	set(headerPriority, strconv.Itoa(j.Priority))
	set(headerRemaining, millis(j.Deadline.Sub(now)))
	set(headerGoal, millis(j.Goal.Sub(now)))
	set(headerObjective, millis(j.Objective))
	set(headerFlags, j.flags())
	set(headerRevision, strconv.FormatUint(revision, 10))
	return &exchange.Request{
		Address: address, Method: j.Method, Target: j.Target, Host: j.Host, Header: h, Body: j.Body, HasBody: j.HasBody, ID: j.ID,
		MaxIdle: peerIdle,
	}
}

func (j *Job) flags() string {
	flags := []byte{'-'}
	if j.MayWait {
		flags = append(flags, flagMayWait)
	}
	if j.Returning {
		flags = append(flags, flagReturning)
	}
	if j.MayRepeat {
		flags = append(flags, flagRepeat)
	}
	return string(flags)
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// decodeJob reads a request of another daemon. The body is not read.
func decodeJob(r *http.Request, now time.Time) (*Job, bool) {
	j := &Job{
		Instance: model.InstanceID(r.Header.Get(headerInstance)), Route: r.Header.Get(headerRoute), Caller: r.Header.Get(headerCaller),
		Method: r.Method, Target: r.RequestURI, Host: r.Host,
	}
	remaining, err1 := strconv.ParseInt(r.Header.Get(headerRemaining), 10, 32)
	goal, err2 := strconv.ParseInt(r.Header.Get(headerGoal), 10, 32)
	objective, err3 := strconv.ParseInt(r.Header.Get(headerObjective), 10, 32)
	priority, err4 := strconv.Atoi(r.Header.Get(headerPriority))
	if j.Instance == "" || err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return nil, false
	}
	j.Deadline = now.Add(time.Duration(remaining) * time.Millisecond)
	j.Goal = now.Add(time.Duration(goal) * time.Millisecond)
	j.Objective = time.Duration(objective) * time.Millisecond
	j.Priority = priority
	flags := r.Header.Get(headerFlags)
	j.MayWait = strings.IndexByte(flags, flagMayWait) >= 0
	j.Returning = strings.IndexByte(flags, flagReturning) >= 0
	j.MayRepeat = strings.IndexByte(flags, flagRepeat) >= 0
	j.Header = ownHeaders(r.Header)
	return j, true
}

// ownHeaders returns the end-to-end headers without those between daemons.
func ownHeaders(h http.Header) http.Header {
	out := exchange.EndToEnd(h)
	for name := range out {
		if strings.HasPrefix(name, refusal.HeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}

// writeResult answers another daemon.
func writeResult(w http.ResponseWriter, res *Result, revision uint64) {
	h := w.Header()
	h["Date"] = nil
	h.Set(headerRevision, strconv.FormatUint(revision, 10))
	if res.Load.Slots > 0 {
		h.Set(headerLoad, encodeLoad(res.Load))
	}
	if res.Arrived {
		h.Set(headerArrived, "1")
	}
	if res.Refusal != nil {
		refusal.Write(w, res.Refusal)
		return
	}
	if res.Run > 0 {
		h.Set(headerRun, strconv.FormatInt(res.Run.Microseconds(), 10))
	}
	writeAnswer(w, res.Answer)
}

// writeAnswer passes an upstream's answer on unchanged.
func writeAnswer(w http.ResponseWriter, a *exchange.Response) {
	h := w.Header()
	for name, values := range exchange.EndToEnd(a.Header) {
		h[name] = values
	}
	for _, name := range [...]string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // keeps net/http from adding its own
		}
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a failed write means that the caller has gone
}

// decodeResult reads the answer of another daemon.
func decodeResult(resp *exchange.Response) (Result, uint64) {
	h := resp.Header
	res := Result{Load: decodeLoad(h.Get(headerLoad)), Arrived: h.Get(headerArrived) != ""}
	revision, _ := strconv.ParseUint(h.Get(headerRevision), 10, 64) // 0 tells nothing
	if us, err := strconv.ParseInt(h.Get(headerRun), 10, 64); err == nil {
		res.Run = time.Duration(us) * time.Microsecond
	}
	if refused, ok := refusal.FromResponse(&http.Response{StatusCode: resp.Status, Header: h}); ok {
		res.Refusal = refused
		return res, revision
	}
	resp.Header = ownHeaders(h)
	res.Answer = resp
	return res, revision
}

// encodeLoad writes a load as running/slots/queued/wait in milliseconds.
func encodeLoad(l intake.Load) string {
	return strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Queued) + "/" + millis(l.Wait)
}

// decodeLoad reads a load; one that cannot be read has no slots.
func decodeLoad(text string) intake.Load {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return intake.Load{}
	}
	var n [4]int
	for i, part := range parts {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return intake.Load{}
		}
		n[i] = v
	}
	return intake.Load{Running: n[0], Slots: n[1], Queued: n[2], Wait: time.Duration(n[3]) * time.Millisecond}
}
