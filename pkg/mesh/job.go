package mesh

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// Headers between daemons, one for each direction to keep them short. Those of callers with
// the prefix are removed.
const (
	headerJob    = refusal.HeaderPrefix + "Job"
	headerResult = refusal.HeaderPrefix + "Result"
	// headerEnds carries Job.SenderEnds as milliseconds from now, only if that is known.
	headerEnds = refusal.HeaderPrefix + "Ends"
	// headerHeld carries the microseconds from the arrival of a job to its result.
	headerHeld = refusal.HeaderPrefix + "Held"
)

// Flags of a job.
const (
	flagMayWait   = 'w'
	flagReturning = 'r'
	flagRepeat    = 's'
	flagNested    = 'n'
	flagRepeated  = 'a'
)

// confirmBytes is the size of a body from which on the other daemon is asked before the body
// is sent: below, the body costs less than the question.
const confirmBytes = 4 << 10

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
	// before; MayRepeat that it may run more than once; Nested that the run of another upstream
	// waits for it; Repeated that it may have run before.
	MayWait, Returning, MayRepeat, Nested, Repeated bool
	Goal, Deadline                                  time.Time
	// SenderEnds is the time at which the daemon that waits for the answer ends; zero while it
	// is not told to stop.
	SenderEnds time.Time
	Objective  time.Duration

	Method, Target, Host, ID string
	Header                   http.Header
	Body                     []byte
	HasBody                  bool
	// Load reads the body once the job has a slot; nil if Body holds it.
	Load func() ([]byte, error)
	// Left reports whether the sender has gone; nil if the context tells.
	Left func() bool
}

// Result is what became of a job. Exactly one of Answer and Refusal is set.
type Result struct {
	Answer  *exchange.Response
	Refusal *refusal.Refusal
	// Load is the load of the upstream; its slots are 0 if unknown.
	Load intake.Load
	// Run is the time that the upstream took.
	Run time.Duration
	// Expected is the time that a run of the route is expected to take there now; 0 if unknown.
	Expected time.Duration
	// RoundTrip is the time that the job and its result took between the daemons; 0 if unknown.
	RoundTrip time.Duration
	// Arrived says that the upstream itself saw the request, also if it refused it.
	Arrived bool
	// Unreachable says that the daemon beside the instance gave no answer.
	Unreachable bool
}

// encode returns the request to the daemon beside the instance.
func (j *Job) encode(now time.Time, address string, revision uint64, gossip string) *exchange.Request {
	h := make(http.Header, len(j.Header)+1)
	for name, values := range j.Header {
		h[name] = values
	}
	h[headerJob] = []string{joinFields(
		string(j.Instance), j.Route, j.Caller, j.flags(), strconv.Itoa(j.Priority), millis(j.Deadline.Sub(now)), millis(j.Goal.Sub(now)),
		millis(j.Objective), strconv.FormatUint(revision, 10), j.Service, gossip,
	)}
	if !j.SenderEnds.IsZero() {
		h[headerEnds] = []string{millis(j.SenderEnds.Sub(now))}
	}
	return &exchange.Request{
		Address: address, Method: j.Method, Target: j.Target, Host: j.Host, Header: h, Body: j.Body, HasBody: j.HasBody, ID: j.ID,
		MaxIdle: peerIdle, Confirm: j.confirm(), Abandoned: j.Left,
	}
}

// confirm reports whether the body is held back until the other daemon has a slot for the job:
// large bodies cost their way, and without its body a request that may not be repeated cannot
// have run when the other daemon breaks down.
func (j *Job) confirm() bool {
	return len(j.Body) >= confirmBytes || len(j.Body) > 0 && !j.MayRepeat
}

// jobFields is the number of fields of a job.
const jobFields = 11

// joinFields joins the fields of a header between daemons.
func joinFields(fields ...string) string {
	for i, field := range fields {
		fields[i] = url.QueryEscape(field)
	}
	return strings.Join(fields, ";")
}

// splitFields reverses joinFields; false if there are not n fields.
func splitFields(text string, n int) ([]string, bool) {
	fields := strings.Split(text, ";")
	if len(fields) != n {
		return nil, false
	}
	for i, field := range fields {
		plain, err := url.QueryUnescape(field)
		if err != nil {
			return nil, false
		}
		fields[i] = plain
	}
	return fields, true
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
	if j.Nested {
		flags = append(flags, flagNested)
	}
	if j.Repeated {
		flags = append(flags, flagRepeated)
	}
	return string(flags)
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// sender is what a daemon says about itself with each message.
type sender struct {
	// revision is that of its view.
	revision uint64
	// gossip is what it knows about requests that crash upstreams.
	gossip string
}

// decodeJob reads a request of another daemon. The body is not read.
func decodeJob(r *http.Request, now time.Time) (*Job, sender, bool) {
	fields, ok := splitFields(r.Header.Get(headerJob), jobFields)
	if !ok || fields[0] == "" {
		return nil, sender{}, false
	}
	var numbers [4]int64 // priority, remaining, goal, objective
	for i := range numbers {
		n, err := strconv.ParseInt(fields[4+i], 10, 32)
		if err != nil {
			return nil, sender{}, false
		}
		numbers[i] = n
	}
	revision, err := strconv.ParseUint(fields[8], 10, 64)
	if err != nil {
		return nil, sender{}, false
	}
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	flags := fields[3]
	var ends time.Time
	if ms, err := strconv.ParseInt(r.Header.Get(headerEnds), 10, 32); err == nil {
		ends = after(ms)
	}
	return &Job{
		SenderEnds: ends, Instance: model.InstanceID(fields[0]), Route: fields[1], Caller: fields[2], Service: fields[9],
		MayWait: strings.IndexByte(flags, flagMayWait) >= 0, Returning: strings.IndexByte(flags, flagReturning) >= 0,
		MayRepeat: strings.IndexByte(flags, flagRepeat) >= 0, Nested: strings.IndexByte(flags, flagNested) >= 0,
		Repeated: strings.IndexByte(flags, flagRepeated) >= 0,
		Priority: int(numbers[0]), Deadline: after(numbers[1]), Goal: after(numbers[2]), Objective: time.Duration(numbers[3]) * time.Millisecond,
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: ownHeaders(r.Header),
	}, sender{revision, fields[10]}, true
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
func writeResult(w http.ResponseWriter, res *Result, from sender, held time.Duration) {
	h := w.Header()
	h[headerHeld] = []string{strconv.FormatInt(held.Microseconds(), 10)}
	h["Date"] = nil
	arrived, kind, ran, retry := "", "", "", ""
	if res.Arrived {
		arrived = "1"
	}
	if r := res.Refusal; r != nil {
		kind, retry = string(r.Kind), millis(r.RetryAfter)
		if r.Run == refusal.NotRun {
			ran = notRunMark
		}
	}
	h[headerResult] = []string{joinFields(
		encodeLoad(res.Load), strconv.FormatUint(from.revision, 10), arrived, strconv.FormatInt(res.Run.Microseconds(), 10), kind, ran, retry, from.gossip, millis(res.Expected),
	)}
	if res.Refusal != nil {
		h["Content-Type"] = nil
		w.WriteHeader(res.Refusal.StatusCode())
		return
	}
	writeAnswer(w, res.Answer)
}

const (
	// resultFields is the number of fields of a result.
	resultFields = 9
	// notRunMark stands for a refusal of a request that has not run.
	notRunMark = "n"
)

// writeAnswer passes an upstream's answer on unchanged but for headers that only daemons write, and
// drops it.
func writeAnswer(w http.ResponseWriter, a *exchange.Response) {
	defer a.Release()
	h := w.Header()
	for name, values := range ownHeaders(a.Header) {
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

// decodeResult reads the answer of another daemon. An answer that no daemon wrote counts as a
// failure that may have run.
func decodeResult(resp *exchange.Response) (Result, sender) {
	fields, ok := splitFields(resp.Header.Get(headerResult), resultFields)
	if !ok {
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the answer was not written by a daemon")}, sender{}
	}
	res := Result{Load: decodeLoad(fields[0]), Arrived: fields[2] != ""}
	revision, _ := strconv.ParseUint(fields[1], 10, 64) // 0 tells nothing
	from := sender{revision, fields[7]}
	if us, err := strconv.ParseInt(fields[3], 10, 64); err == nil {
		res.Run = time.Duration(us) * time.Microsecond
	}
	if ms, err := strconv.ParseInt(fields[8], 10, 32); err == nil {
		res.Expected = time.Duration(ms) * time.Millisecond
	}
	if kind := fields[4]; kind != "" {
		res.Refusal = mayHaveRun(refusal.Kind(kind), "refused by the daemon beside the instance; see its log")
		if fields[5] == notRunMark {
			res.Refusal.Run = refusal.NotRun
		}
		if ms, err := strconv.ParseInt(fields[6], 10, 32); err == nil {
			res.Refusal.RetryAfter = time.Duration(ms) * time.Millisecond
		}
		return res, from
	}
	resp.Header = ownHeaders(resp.Header)
	res.Answer = resp
	return res, from
}

// wayBytes is the size of an answer up to which its time on the way does not depend on it: the
// first window of a connection.
const wayBytes = 10 << 10

// wayOf returns the time that a job and its result took between the daemons, 0 if the answer does
// not tell: a new connection, or a large answer, takes the way more than once.
func wayOf(resp *exchange.Response, took time.Duration) time.Duration {
	us, err := strconv.ParseInt(resp.Header.Get(headerHeld), 10, 64)
	if err != nil || us < 0 || !resp.Reused || len(resp.Body) > wayBytes {
		return 0
	}
	return max(0, took-time.Duration(us)*time.Microsecond)
}

// encodeLoad writes a load as running/slots/queued/next/wait, the times in milliseconds.
func encodeLoad(l intake.Load) string {
	return strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Queued) + "/" + millis(l.Next) + "/" + millis(l.Wait)
}

// loadFields is the number of fields of a load.
const loadFields = 5

// decodeLoad reads a load; one that cannot be read has no slots.
func decodeLoad(text string) intake.Load {
	parts := strings.Split(text, "/")
	if len(parts) != loadFields {
		return intake.Load{}
	}
	var n [loadFields]int
	for i, part := range parts {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return intake.Load{}
		}
		n[i] = v
	}
	after := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	return intake.Load{Running: n[0], Slots: n[1], Queued: n[2], Next: after(n[3]), Wait: after(n[4])}
}
