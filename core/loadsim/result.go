package loadsim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Result is what became of the requests of callers.
type Result struct {
	Kinds []KindResult `json:"kinds"`
	// Seconds are the outcomes by the second in which the caller sent the request first.
	Seconds []SecondResult `json:"seconds"`
	// Repeats is the number of attempts for which the budget was charged.
	Repeats int `json:"repeats"`

	byKind  map[string]int
	pattern *Pattern
}

// Counts counts the outcomes of requests. Refused requests have not run.
type Counts struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Owed is the worth of all requests, Earned that of the answered ones.
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
}

// Share returns the earned part of the owed worth, 1 if nothing is owed.
func (c *Counts) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

// KindResult is the result of one kind of request.
type KindResult struct {
	Name string `json:"name"`
	Counts
	// Took are the times from the caller's first attempt to the response.
	Took []time.Duration `json:"-"`
}

// SecondResult is the result of the requests of one second.
type SecondResult struct {
	Counts
	// Bound is the worth that nobody could exceed: see bound.
	Bound float64 `json:"bound"`
}

func newResult(p *Pattern) *Result {
	r := &Result{byKind: make(map[string]int), pattern: p, Seconds: make([]SecondResult, int(math.Ceil(p.Duration.Seconds())))}
	for _, k := range p.Kinds {
		if k.PerSecond > 0 {
			r.byKind[k.Name] = len(r.Kinds)
			r.Kinds = append(r.Kinds, KindResult{Name: k.Name})
		}
	}
	for i := range r.Seconds {
		r.Seconds[i].Bound = bound(p, time.Duration(i)*time.Second)
	}
	return r
}

// counts returns the counters for a request that was sent at a time.
func (r *Result) counts(k *Kind, sent time.Duration) [2]*Counts {
	second := min(int(sent/time.Second), len(r.Seconds)-1)
	return [2]*Counts{&r.Kinds[r.byKind[k.Name]].Counts, &r.Seconds[second].Counts}
}

func (r *Result) asked(k *Kind, sent time.Duration) {
	for _, c := range r.counts(k, sent) {
		c.Asked++
		c.Owed += k.Worth
	}
}

func (r *Result) answered(k *Kind, sent, took time.Duration) {
	kind := &r.Kinds[r.byKind[k.Name]]
	kind.Took = append(kind.Took, took)
	for _, c := range r.counts(k, sent) {
		if took <= k.Goal {
			c.InTime++
			c.Earned += k.Worth
		} else {
			c.Late++
			c.Earned += k.LateWorth
		}
	}
}

func (r *Result) lost(k *Kind, sent time.Duration, notRun bool) {
	for _, c := range r.counts(k, sent) {
		if notRun {
			c.Refused++
		} else {
			c.Failed++
		}
	}
}

// Total returns the counts of all kinds together.
func (r *Result) Total() Counts {
	var t Counts
	for i := range r.Kinds {
		c := &r.Kinds[i].Counts
		t.Asked += c.Asked
		t.InTime += c.InTime
		t.Late += c.Late
		t.Refused += c.Refused
		t.Failed += c.Failed
		t.Owed += c.Owed
		t.Earned += c.Earned
	}
	return t
}

// Percentile returns the time that a share of the answered requests of a kind did not exceed, 0 if none
// was answered.
func (k *KindResult) Percentile(share float64) time.Duration {
	if len(k.Took) == 0 {
		return 0
	}
	slices.Sort(k.Took)
	return k.Took[min(len(k.Took)-1, int(share*float64(len(k.Took))))]
}

// bound returns a share of the owed worth that no policy can exceed in the second that begins at a time.
// It counts the slots that are up, their speed and limits, the work of each kind with its calls, and
// the chance that a request with all its attempts, and all those of its caller, passes instances that
// refuse or fail a part of what they get. It ignores queues, delays, requests that are carried over from
// one second to the next, and the limit on repeats.
func bound(p *Pattern, at time.Duration) float64 {
	capacity, pass := make(map[string]float64), make(map[string]float64)
	for _, service := range p.Services {
		capacity[service.Name], pass[service.Name] = p.capacity(service, at)
	}
	kinds := make(map[string]*Kind)
	for i := range p.Kinds {
		kinds[p.Kinds[i].Name] = &p.Kinds[i]
	}
	type offer struct {
		kind  *Kind
		cost  map[string]float64 // seconds of a slot by service
		share float64            // that can pass the instances
	}
	var offers []offer
	for i := range p.Kinds {
		k := &p.Kinds[i]
		if k.PerSecond == 0 {
			continue
		}
		o := offer{kind: k, cost: map[string]float64{k.Service: k.Run.Seconds()}, share: 1}
		once := 1 - math.Pow(1-pass[k.Service], float64(k.MaxAttempts))
		if c := k.Calls; c != nil {
			called := kinds[c.Kind]
			o.cost[called.Service] += c.Share * float64(c.Times) * called.Run.Seconds()
			o.cost[k.Service] += c.Share * called.Run.Seconds() // the run keeps its slot while it waits
			passes := math.Pow(1-math.Pow(1-pass[called.Service], float64(called.MaxAttempts)), float64(c.Times))
			if k.MayRepeat {
				passes = 1 - math.Pow(1-passes, float64(k.MaxAttempts))
			}
			once *= 1 - c.Share + c.Share*passes
		}
		o.share = 1 - math.Pow(1-once, float64(1+k.Returns))
		offers = append(offers, o)
	}
	density := func(o offer) float64 {
		cost := 0.0
		for service, seconds := range o.cost {
			cost += seconds / max(capacity[service], 1e-9)
		}
		return o.kind.Worth / cost
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(density(b), density(a)) })
	owed, earned := 0.0, 0.0
	for _, o := range offers {
		n := o.kind.PerSecond * p.burst(at)
		served := n * o.share
		for service, seconds := range o.cost {
			if seconds > 0 {
				served = min(served, capacity[service]/seconds)
			}
		}
		for service, seconds := range o.cost {
			capacity[service] -= served * seconds
		}
		owed += n * o.kind.Worth
		earned += served * o.kind.Worth
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

// capacity returns the slots of a service at a time, in slots of usual speed, and the share of requests
// that its best instances neither refuse nor fail.
func (p *Pattern) capacity(service Service, at time.Duration) (slots, pass float64) {
	share, worst := float64(service.Slots*service.Instances)*service.relativeSpeed(), 1.0
	allBad := 0.0
	for i := range p.Troubles {
		t := &p.Troubles[i]
		if t.Service != service.Name || !t.active(at) {
			continue
		}
		hit := t.Share * float64(service.Slots*service.Instances) * service.relativeSpeed()
		switch t.What {
		case Slow:
			share -= hit * (1 - 1/t.Factor)
		case Leave:
			share -= hit
		case Limit:
			share -= max(0, hit-t.Factor*t.Share*float64(service.Instances)*p.meanRun(service.Name))
		case Shed, Fail:
			allBad, worst = max(allBad, t.Share), min(worst, 1-t.Factor)
		}
	}
	pass = 1
	if allBad >= 1 {
		pass = worst
	}
	return max(0, share), pass
}

// meanRun returns the mean run of the requests to a service in seconds.
func (p *Pattern) meanRun(service string) float64 {
	rate, work := 0.0, 0.0
	for i := range p.Kinds {
		if k := &p.Kinds[i]; k.Service == service {
			rate += k.PerSecond
			work += k.PerSecond * k.Run.Seconds()
		}
	}
	if rate == 0 {
		return 0
	}
	return work / rate
}

// burst returns the factor by which bursts multiply the requests at a time.
func (p *Pattern) burst(at time.Duration) float64 {
	factor := 1.0
	for i := range p.Troubles {
		if t := &p.Troubles[i]; t.What == Burst && t.active(at) {
			factor *= t.Factor
		}
	}
	return factor
}
