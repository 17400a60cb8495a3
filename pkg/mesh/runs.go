package mesh

import (
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
)

// runs records the runs at the local upstream and the calls that each has made through this daemon.
// It is safe for concurrent use.
type runs struct {
	mu    sync.Mutex
	byID  map[string]*run
	meter *retry.CallMeter
	ended uint64 // number of runs that have ended
}

// callsReportInterval is the number of runs of which one reports the mean number of calls, because the
// mean changes slowly and a report takes some 40 bytes.
const callsReportInterval = 8

// run is a request in flight to the upstream. Requests with the same ID share one entry.
type run struct {
	inFlight int
	priority int // of the route
	made     retry.Calls
	// unanswered counts the calls of which an attempt has failed and that have not succeeded since;
	// callFailed is set once one of them was given up.
	unanswered int
	callFailed bool
}

func newRuns() *runs { return &runs{byID: make(map[string]*run), meter: retry.NewCallMeter()} }

// begin records the start of a run of a route with the priority.
func (r *runs) begin(id string, priority int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.byID[id]
	if entry == nil {
		entry = &run{made: make(retry.Calls), priority: priority}
		r.byID[id] = entry
	}
	entry.inFlight++
}

// end records the end of a run of a route and reports whether one of its calls was given up.
// answered is set if the upstream answered, so that the calls of the run are complete.
func (r *runs) end(id, route string, answered bool) (callFailed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.byID[id]
	if entry == nil {
		return false
	}
	r.ended++
	if entry.inFlight--; entry.inFlight == 0 {
		delete(r.byID, id)
		if answered {
			r.meter.RunEnded(route, entry.made)
		}
	}
	return entry.callFailed
}

// active reports whether a run of a request with the ID is in flight.
func (r *runs) active(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id] != nil
}

// callPriority returns the priority of a call that the run of a request with the ID makes: it is one level
// more urgent than the request, because the run has taken a slot and fails without the call. It returns own,
// the priority of the call's route, if no such run is in flight.
func (r *runs) callPriority(id string, own int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.byID[id]
	if entry == nil {
		return own
	}
	return max(0, entry.priority-1)
}

// report returns the mean number of calls that the runs of a route make, nil if it is unknown or need
// not be reported with the run that has just ended.
func (r *runs) report(route string) retry.Calls {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended%callsReportInterval != 0 {
		return nil
	}
	return r.meter.Calls(route)
}

// nestedCall is the record of one call of a run. The nil pointer stands for a request that no run
// makes.
type nestedCall struct {
	runs       *runs
	parent     *run
	unanswered bool // counts in the parent's number
}

// call records a call that a run makes to a service, whose run in turn causes further calls. It returns
// nil if the run has ended.
func (r *runs) call(parent, service string, further retry.Calls) *nestedCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.byID[parent]
	if entry == nil {
		return nil
	}
	entry.made[service]++
	for callee, n := range further {
		entry.made[callee] += n
	}
	return &nestedCall{runs: r, parent: entry}
}

// attemptFailed records that an attempt of the call has failed, and reports whether another call of the
// same run is unanswered after a failed attempt as well.
func (c *nestedCall) attemptFailed() (siblingFailed bool) {
	if c == nil {
		return false
	}
	c.runs.mu.Lock()
	defer c.runs.mu.Unlock()
	if !c.unanswered {
		c.unanswered = true
		c.parent.unanswered++
	}
	return c.parent.unanswered > 1
}

// ended records the outcome of the call.
func (c *nestedCall) ended(answered bool) {
	if c == nil {
		return
	}
	c.runs.mu.Lock()
	defer c.runs.mu.Unlock()
	switch {
	case !answered:
		c.parent.callFailed = true
	case c.unanswered:
		c.unanswered = false
		c.parent.unanswered--
	}
}

// headerCalls carries, in results, the mean number of calls of the route's runs, by service, and
// whether a call of this run was given up. It is sent if there is something to say.
const headerCalls = refusal.HeaderPrefix + "Calls"

const (
	// callFailedMark is the first field of headerCalls if a call was given up, otherwise
	// noCallFailedMark.
	callFailedMark, noCallFailedMark = "failed", "ok"
	// unknownCallsMark replaces the list of calls if it is unknown.
	unknownCallsMark = "unknown"
	// maxReportedServices bounds the number of services in headerCalls, and maxReportedCalls the
	// number of calls to each.
	maxReportedServices = 16
	maxReportedCalls    = 1000.0
)

// encodeCalls returns the value of headerCalls, empty if there is nothing to say.
func encodeCalls(calls retry.Calls, callFailed bool) string {
	if calls == nil && !callFailed {
		return ""
	}
	fields := []string{noCallFailedMark}
	if callFailed {
		fields[0] = callFailedMark
	}
	if calls == nil {
		return strings.Join(append(fields, unknownCallsMark), ";")
	}
	for service, n := range calls {
		if len(fields) <= maxReportedServices {
			fields = append(fields, url.QueryEscape(service)+"="+strconv.FormatFloat(n, 'f', 2, 64))
		}
	}
	slices.Sort(fields[1:])
	return strings.Join(fields, ";")
}

// decodeCalls reverses encodeCalls. A text that it has not written says nothing.
func decodeCalls(text string) (calls retry.Calls, callFailed bool) {
	fields := strings.Split(text, ";")
	if fields[0] != callFailedMark && fields[0] != noCallFailedMark || len(fields) > 1+maxReportedServices {
		return nil, false
	}
	callFailed = fields[0] == callFailedMark
	if len(fields) == 2 && fields[1] == unknownCallsMark {
		return nil, callFailed
	}
	calls = make(retry.Calls, len(fields)-1)
	for _, field := range fields[1:] {
		name, number, _ := strings.Cut(field, "=")
		service, err := url.QueryUnescape(name)
		n, numberErr := strconv.ParseFloat(number, 64)
		if err != nil || numberErr != nil || service == "" || math.IsNaN(n) || n < 0 || n > maxReportedCalls {
			return nil, false
		}
		calls[service] = n
	}
	return calls, callFailed
}
