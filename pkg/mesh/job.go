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
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// Headers between daemons. Each direction uses one main header with several fields to save bytes.
// Headers with the prefix are removed from callers' requests.
const (
	headerJob    = refusal.HeaderPrefix + "Job"
	headerResult = refusal.HeaderPrefix + "Result"
	// headerEnds carries Job.SenderEnds in milliseconds from now. It is sent only if that is set.
	headerEnds = refusal.HeaderPrefix + "Ends"
	// headerHeld carries the time from the arrival of a job to its result, in microseconds.
	headerHeld = refusal.HeaderPrefix + "Held"
	// headerEvacuated is set in results if Result.Evacuated is.
	headerEvacuated = refusal.HeaderPrefix + "Evacuated"
)

// Flags of a job in headerJob.
const (
	flagMayWait   = 'w'
	flagReturning = 'r'
	flagRepeat    = 's'
	flagNested    = 'n'
	flagRepeated  = 'a'
	flagTrial     = 't'
)

// deferBodyBytes is the body size from which the other daemon has to confirm a free slot before the
// body is sent. A smaller body costs less than the extra round trip.
const deferBodyBytes = 4 << 10

// Job is one attempt of a request, addressed to one instance.
type Job struct {
	Instance model.InstanceID
	// Service is the instance's service.
	Service string
	Route   string
	// Caller is the service of the daemon at which the request entered the mesh.
	Caller string
	// Priority is that of the route. That of a nested job is one level more urgent than the request whose
	// run makes it, and the job yields to more urgent ones.
	Priority int
	// MayWait lets the request wait for a slot. Returning is set if its caller has been refused
	// before, MayRepeat if it may run more than once, Nested if a run of another upstream waits
	// for it, and Repeated if an earlier attempt may have run. QuarantineTrial is set if it runs although
	// it is blocked, to find out whether it still crashes upstreams.
	MayWait, Returning, MayRepeat, Nested, Repeated, QuarantineTrial bool

	Goal, Deadline time.Time
	// SenderEnds is the time at which the process of the sending daemon ends. It is zero unless
	// that daemon is shutting down.
	SenderEnds time.Time
	Objective  time.Duration
	// Limit is the number of requests per second that the instance's upstream takes, as the sender
	// knows it; 0 if there is no limit.
	Limit float64

	Method, Target, Host, ID string
	Header                   http.Header
	Body                     []byte
	HasBody                  bool
	// ReadBody reads the body once the job has a slot. The error is errBodyLate if the body has not
	// arrived by the given time. It is nil if Body holds the body.
	ReadBody func(by time.Time) ([]byte, error)
	// Disconnected reports whether the sender has disconnected. It is nil if the context covers that.
	Disconnected func() bool
	// Withdrawn reports whether the table in force at the sender no longer allows the instance's region.
	// It is nil at the receiver.
	Withdrawn func() bool
}

// Result is the outcome of a job. Exactly one of Response and Refusal is set.
type Result struct {
	Response *exchange.Response
	Refusal  *refusal.Refusal
	// Load is the load of the upstream. Its Slots are 0 if the load is unknown.
	Load intake.Load
	// Run is the time that the upstream needed for its response, at the usual pace of its host.
	Run time.Duration
	// Expected is the expected duration of a run of the route at this instance now, at the usual pace of
	// its host; 0 if unknown.
	Expected time.Duration
	// Pace is the last pace of the upstream's host; the zero value if it has reported none.
	Pace intake.HostPace
	// RoundTrip is the network round trip between the daemons, without the time that the other
	// daemon held the job; 0 if unknown.
	RoundTrip time.Duration
	// Limit is the number of requests per second that the upstream takes; 0 if it has named none and is
	// not cold. Cold is set if it is the rate of a cold upstream. Leaving is set if the upstream has
	// answered this job and said that it is leaving.
	Limit   float64
	Cold    bool
	Leaving bool
	// Evacuated is set if the data centre of the instance is evacuated.
	Evacuated bool
	// Calls are the calls that runs of the route make at this instance, nil if unknown. CallFailed is
	// set if a call that this run made was given up.
	Calls      retry.Calls
	CallFailed bool
	// Arrived is set if the request may have reached the upstream itself, even if the upstream
	// refused it.
	Arrived bool
	// Unreachable is set if the instance's daemon did not respond.
	Unreachable bool

	// connectionRefused is set by the guard if the upstream refused the connection.
	connectionRefused bool
	// bodyLate is set if the body of the job did not arrive in time. The sender may still wait for
	// the result.
	bodyLate bool
}

// encode returns the HTTP request that carries the job to the instance's daemon.
func (j *Job) encode(now time.Time, address string, revision uint64, gossip string) *exchange.Request {
	h := make(http.Header, len(j.Header)+1)
	for name, values := range j.Header {
		h[name] = values
	}
	h[headerJob] = []string{joinFields(
		string(j.Instance), j.Route, j.Caller, j.flags(), strconv.Itoa(j.Priority), formatMillis(j.Deadline.Sub(now)), formatMillis(j.Goal.Sub(now)),
		formatMillis(j.Objective), strconv.FormatUint(revision, 10), j.Service, gossip,
	)}
	if !j.SenderEnds.IsZero() {
		h[headerEnds] = []string{formatMillis(j.SenderEnds.Sub(now))}
	}
	if text := encodeNotices(j.Limit, false, false); text != "" {
		h[headerNotices] = []string{text}
	}
	return &exchange.Request{
		Address: address, Method: j.Method, Target: j.Target, Host: j.Host, Header: h, Body: j.Body, HasBody: j.HasBody, ID: j.ID,
		MaxIdle: peerIdle, Confirm: j.deferBody(), Abandoned: j.abandoned,
	}
}

// abandoned reports whether the job must not be sent any more.
func (j *Job) abandoned() bool {
	return j.Disconnected != nil && j.Disconnected() || j.Withdrawn != nil && j.Withdrawn()
}

// deferBody reports whether the body is sent only after the other daemon has a slot for the job.
// Sending a large body to a full instance wastes bandwidth. A request that may not run twice
// certainly has not run if the other daemon fails before the body was sent.
func (j *Job) deferBody() bool {
	return len(j.Body) >= deferBodyBytes || len(j.Body) > 0 && !j.MayRepeat
}

// jobFields is the number of fields in headerJob.
const jobFields = 11

// joinFields escapes and joins the fields of a header between daemons.
func joinFields(fields ...string) string {
	for i, field := range fields {
		fields[i] = url.QueryEscape(field)
	}
	return strings.Join(fields, ";")
}

// splitFields reverses joinFields. It returns false unless there are exactly n valid fields.
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
	if j.QuarantineTrial {
		flags = append(flags, flagTrial)
	}
	return string(flags)
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// peerInfo is the information that a daemon adds to each job and result it sends.
type peerInfo struct {
	// revision is the revision of the daemon's view.
	revision uint64
	// gossip is the encoded list of requests that the daemon suspects of crashing upstreams.
	gossip string
}

// decodeJob decodes a job that another daemon sent. It does not read the body.
func decodeJob(r *http.Request, now time.Time) (*Job, peerInfo, bool) {
	fields, ok := splitFields(r.Header.Get(headerJob), jobFields)
	if !ok || fields[0] == "" {
		return nil, peerInfo{}, false
	}
	var numbers [4]int64 // priority, remaining, goal, objective
	for i := range numbers {
		n, err := strconv.ParseInt(fields[4+i], 10, 32)
		if err != nil {
			return nil, peerInfo{}, false
		}
		numbers[i] = n
	}
	revision, err := strconv.ParseUint(fields[8], 10, 64)
	if err != nil {
		return nil, peerInfo{}, false
	}
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	flags := fields[3]
	var ends time.Time
	if ms, err := strconv.ParseInt(r.Header.Get(headerEnds), 10, 32); err == nil {
		ends = after(ms)
	}
	limit, _, _ := decodeNotices(r.Header.Get(headerNotices))
	return &Job{
		Limit: limit, SenderEnds: ends, Instance: model.InstanceID(fields[0]), Route: fields[1], Caller: fields[2], Service: fields[9],
		MayWait: strings.IndexByte(flags, flagMayWait) >= 0, Returning: strings.IndexByte(flags, flagReturning) >= 0,
		MayRepeat: strings.IndexByte(flags, flagRepeat) >= 0, Nested: strings.IndexByte(flags, flagNested) >= 0,
		Repeated: strings.IndexByte(flags, flagRepeated) >= 0, QuarantineTrial: strings.IndexByte(flags, flagTrial) >= 0,
		Priority: int(numbers[0]), Deadline: after(numbers[1]), Goal: after(numbers[2]), Objective: time.Duration(numbers[3]) * time.Millisecond,
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: withoutPeerHeaders(r.Header),
	}, peerInfo{revision, fields[10]}, true
}

// withoutPeerHeaders returns the end-to-end headers without the headers that daemons add.
func withoutPeerHeaders(h http.Header) http.Header {
	out := exchange.EndToEnd(h)
	for name := range out {
		if strings.HasPrefix(name, refusal.HeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}

// writeResult writes a result as the response to another daemon, which waits for it until the given
// time. It returns the error of writing an upstream's response.
func writeResult(w http.ResponseWriter, res *Result, from peerInfo, held time.Duration, by time.Time) error {
	h := w.Header()
	h[headerHeld] = []string{strconv.FormatInt(held.Microseconds(), 10)}
	h["Date"] = nil
	arrived, kind, ran, retry := "", "", "", ""
	if res.Arrived {
		arrived = "1"
	}
	if r := res.Refusal; r != nil {
		kind, retry = string(r.Kind), formatMillis(r.RetryAfter)
		if r.Run == refusal.NotRun {
			ran = notRunMark
		}
	}
	h[headerResult] = []string{joinFields(
		encodeLoad(res.Load), strconv.FormatUint(from.revision, 10), arrived, strconv.FormatInt(res.Run.Microseconds(), 10), kind, ran, retry, from.gossip, formatMillis(res.Expected),
	)}
	if text := encodeNotices(res.Limit, res.Leaving, res.Cold); text != "" {
		h[headerNotices] = []string{text}
	}
	if res.Evacuated {
		h[headerEvacuated] = []string{"1"}
	}
	if text := encodePace(time.Now(), res.Pace); text != "" {
		h[headerPace] = []string{text}
	}
	if text := encodeCalls(res.Calls, res.CallFailed); text != "" {
		h[headerCalls] = []string{text}
	}
	if res.Refusal != nil {
		h["Content-Type"] = nil
		w.WriteHeader(res.Refusal.StatusCode())
		return nil
	}
	return writeResponse(w, res.Response, by)
}

const (
	// resultFields is the number of fields in headerResult.
	resultFields = 9
	// maxRunMicros bounds the run time in a result, in microseconds: a route's timeout is shorter.
	maxRunMicros = int64(route.MaxTimeout / time.Microsecond)
	// notRunMark marks the refusal of a request that has not run.
	notRunMark = "n"
)

// decodeResult decodes the response of another daemon. A response that no daemon wrote counts as a
// failure of a request that may have run.
func decodeResult(resp *exchange.Response) (Result, peerInfo) {
	fields, ok := splitFields(resp.Header.Get(headerResult), resultFields)
	if !ok {
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the response was not written by a daemon")}, peerInfo{}
	}
	res := Result{Load: decodeLoad(fields[0]), Arrived: fields[2] != ""}
	res.Limit, res.Leaving, res.Cold = decodeNotices(resp.Header.Get(headerNotices))
	res.Calls, res.CallFailed = decodeCalls(resp.Header.Get(headerCalls))
	res.Evacuated = resp.Header.Get(headerEvacuated) != ""
	res.Pace = decodePace(time.Now(), resp.Header.Get(headerPace))
	revision, _ := strconv.ParseUint(fields[1], 10, 64) // 0 if unknown
	from := peerInfo{revision, fields[7]}
	if us, err := strconv.ParseInt(fields[3], 10, 64); err == nil && us <= maxRunMicros {
		res.Run = time.Duration(us) * time.Microsecond
	}
	if ms, err := strconv.ParseInt(fields[8], 10, 32); err == nil {
		res.Expected = time.Duration(ms) * time.Millisecond
	}
	if kind := fields[4]; kind != "" {
		res.Refusal = mayHaveRun(refusal.Kind(kind), "the instance's daemon refused the request; see its log")
		if fields[5] == notRunMark {
			res.Refusal.Run = refusal.NotRun
		}
		if ms, err := strconv.ParseInt(fields[6], 10, 32); err == nil {
			res.Refusal.RetryAfter = time.Duration(ms) * time.Millisecond
		}
		return res, from
	}
	resp.Header = withoutPeerHeaders(resp.Header)
	res.Response = resp
	return res, from
}

// maxRoundTripBytes is the response size up to which the transfer takes a single round trip: the
// initial congestion window of a connection.
const maxRoundTripBytes = 10 << 10

// peerRoundTrip returns the network round trip of a job and its result, 0 if the response does not
// allow the measurement: a new connection or a large response takes more than one round trip.
func peerRoundTrip(resp *exchange.Response, elapsed time.Duration) time.Duration {
	us, err := strconv.ParseInt(resp.Header.Get(headerHeld), 10, 64)
	if err != nil || us < 0 || !resp.Reused || len(resp.Body) > maxRoundTripBytes {
		return 0
	}
	return max(0, elapsed-time.Duration(us)*time.Microsecond)
}

// encodeLoad writes a load as running/slots/queued/next/wait, the times in milliseconds.
func encodeLoad(l intake.Load) string {
	return strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Queued) + "/" + formatMillis(l.Next) + "/" + formatMillis(l.Wait)
}

const (
	// loadFields is the number of fields of an encoded load.
	loadFields = 5
	// maxLoadField bounds its fields: calls, and times in milliseconds.
	maxLoadField = 100_000_000
)

// decodeLoad decodes a load. It returns a load without slots if the text is invalid.
func decodeLoad(text string) intake.Load {
	parts := strings.Split(text, "/")
	if len(parts) != loadFields {
		return intake.Load{}
	}
	var n [loadFields]int
	for i, part := range parts {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 || v > maxLoadField {
			return intake.Load{}
		}
		n[i] = v
	}
	after := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	return intake.Load{Running: n[0], Slots: n[1], Queued: n[2], Next: after(n[3]), Wait: after(n[4])}
}
