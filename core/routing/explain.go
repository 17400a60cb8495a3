package routing

import (
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// Explanation describes how calls to a service are routed at one point in time.
type Explanation struct {
	Service string        `json:"service"`
	Version model.Version `json:"version"`
	// Refusal is the kind of the refusal that all calls to the service get. It is empty if
	// calls are routed.
	Refusal   refusal.Kind `json:"refusal,omitempty"`
	Remedy    string       `json:"remedy,omitempty"`
	Instances []Candidate  `json:"instances"`
}

// Candidate is the router's view of an instance.
type Candidate struct {
	ID    model.InstanceID `json:"id"`
	Place string           `json:"place"`
	Step  Reason           `json:"step,omitempty"` // empty if calls are not routed to it
	// Weight is the weight of its data centre, RegionWeight that of its region.
	Weight       uint32  `json:"weight"`
	RegionWeight uint32  `json:"region_weight"`
	State        string  `json:"state"`
	Load         float64 `json:"load"`  // estimated calls, including queued ones
	Slots        int     `json:"slots"` // 0 if unknown
	Fresh        bool    `json:"fresh"` // the instance reported its load less than 1 s ago
	Full         bool    `json:"full"`
	// LatencySeconds is the moving average of the latency. It is 0 if unknown or if the last
	// measurement is 5 s old or older.
	LatencySeconds float64 `json:"latency_seconds"`
	// SuspectSeconds is the time until the next probe of a suspect.
	SuspectSeconds float64 `json:"suspect_seconds,omitempty"`
	Ramp           float64 `json:"ramp"` // part of its full share, up to 1
}

// Explain returns the state on which choices for a service are based.
func (r *Router) Explain(name string, now time.Time) Explanation {
	e := Explanation{Service: name}
	routes := r.routes.Load()
	refuse := func(refused *refusal.Refusal) Explanation {
		e.Refusal, e.Remedy = refused.Kind, refused.Remedy
		return e
	}
	if routes == nil {
		return refuse(noVersion)
	}
	e.Version = routes.version
	svc, ok := routes.services[name]
	if !ok {
		return refuse(noService)
	}
	routed := false
	for _, t := range svc.members {
		c := routes.candidate(r.self.Place, svc, t, int64(now.Sub(routes.base)))
		routed = routed || c.Step != ""
		e.Instances = append(e.Instances, c)
	}
	if !routed {
		return refuse(noInstance)
	}
	return e
}

// candidate describes an instance of a service as the daemon at place self sees it.
func (r *routes) candidate(self model.Place, svc *service, t target, now int64) Candidate {
	c := Candidate{ID: t.inst.ID, Place: t.inst.Place.String(), State: t.inst.State.String(), Ramp: t.node.ramp(now)}
	c.Load, c.Slots, c.Fresh = t.node.load(now)
	c.Full = t.node.full(now)
	c.LatencySeconds = t.node.recentLatency(now) / float64(time.Second)
	if t.node.suspect() {
		c.SuspectSeconds = max(0, time.Duration(t.node.suspectUntil.Load()-now).Seconds())
	}
	live := t.inst.State == model.Live
	if t.node.leaving.Load() {
		c.State, live = model.Leaving.String(), false
	}
	i, placed := r.places[t.inst.Place]
	if !placed {
		return c
	}
	c.Weight = svc.row.DataCentres[i].Weight
	for k, name := range r.table.Layout.Regions {
		if name == t.inst.Place.Region {
			c.RegionWeight = svc.row.Regions[k].Weight
		}
	}
	distance := t.inst.Place.DistanceTo(self)
	if live && c.Weight > 0 && (distance != model.CrossRegion || c.RegionWeight > 0) {
		c.Step = [...]Reason{Local, Region, Remote}[distance]
	}
	return c
}
