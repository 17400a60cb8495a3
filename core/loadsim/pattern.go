// Package loadsim plays a load pattern against the decisions of the daemon in virtual time: placement,
// the queues in front of the upstreams, repeats and their budget. Callers, daemons and upstreams are
// simulated, with equal results for equal seeds, so that two policies or two patterns can be compared
// within seconds. It simulates no store, no membership and no bytes on links.
package loadsim

import (
	"fmt"
	"math"
	"time"
)

// Pattern is a load, the fleet that takes it and what goes wrong meanwhile.
type Pattern struct {
	Seed uint64 `yaml:"seed"`
	// Duration is the time in which callers send requests.
	Duration time.Duration `yaml:"duration"`
	// DataCentres is the number of data centres, half of which are in each of two regions.
	DataCentres int       `yaml:"data_centres"`
	Services    []Service `yaml:"services"`
	Kinds       []Kind    `yaml:"kinds"`
	Troubles    []Trouble `yaml:"troubles"`
	Repeats     Repeats   `yaml:"repeats"`
}

// Service is a service and its instances, which are spread evenly over the data centres.
type Service struct {
	Name      string `yaml:"name"`
	Instances int    `yaml:"instances"`
	// Slots is the number of requests that an instance runs at a time.
	Slots int `yaml:"slots"`
	// Speeds are the factors by which the run times of instances differ, in turn over the instances. All
	// instances are of usual speed if there are none.
	Speeds []float64 `yaml:"speeds"`
	// Pace is how the pace of the instances' hosts changes; nil for a constant one.
	Pace *Pace `yaml:"pace"`
}

// Repeats are the limits on repeats over the whole fleet.
type Repeats struct {
	Ratio     float64       `yaml:"ratio"`
	Allowance float64       `yaml:"allowance"`
	Window    time.Duration `yaml:"window"`
}

// Kind is a kind of request with a route of its own.
type Kind struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// PerSecond is the number of requests that callers send in a second; 0 for a kind that only runs of
	// other kinds send.
	PerSecond float64 `yaml:"per_second"`
	// Run is the mean time that a run takes at an instance of usual speed.
	Run      time.Duration `yaml:"run"`
	Goal     time.Duration `yaml:"goal"`
	Deadline time.Duration `yaml:"deadline"`
	// Worth is the value of a response within the goal, LateWorth that of a later one.
	Worth       float64 `yaml:"worth"`
	LateWorth   float64 `yaml:"late_worth"`
	Priority    int     `yaml:"priority"`
	MayRepeat   bool    `yaml:"may_repeat"`
	MaxAttempts int     `yaml:"max_attempts"`
	// Returns is the number of times that a caller comes back after a refusal or a failure.
	Returns int `yaml:"returns"`
	// Calls are the calls that a run makes at its start, all at the same time. It fails if one fails.
	Calls *Calls `yaml:"calls"`
}

// Calls are the calls of a run.
type Calls struct {
	Kind  string `yaml:"kind"`
	Times int    `yaml:"times"`
	// Share is the share of the runs that make the calls.
	Share float64 `yaml:"share"`
}

// Troubles that a pattern may name.
const (
	// Slow instances take Factor times as long.
	Slow = "slow"
	// Shed instances refuse the share Factor of the requests that reach them.
	Shed = "shed"
	// Fail instances fail the share Factor of their runs, half way.
	Fail = "fail"
	// Limit instances take Factor requests per second from all daemons together.
	Limit = "limit"
	// Leave instances take no new requests.
	Leave = "leave"
	// Burst multiplies the requests of all callers by Factor.
	Burst = "burst"
)

// Trouble is something that goes wrong for a time.
type Trouble struct {
	What string `yaml:"what"`
	// Service is the service that it concerns, Share the share of its instances.
	Service string  `yaml:"service"`
	Share   float64 `yaml:"share"`
	Factor  float64 `yaml:"factor"`
	// From and To are the times at which it begins and ends.
	From time.Duration `yaml:"from"`
	To   time.Duration `yaml:"to"`
}

// active reports whether the trouble is in force at a time of the pattern.
func (t *Trouble) active(at time.Duration) bool { return at >= t.From && at < t.To }

// PatternError reports a value of a pattern that cannot be played.
type PatternError struct{ Key, Problem, Remedy string }

// Error names the key, the problem and the remedy.
func (e *PatternError) Error() string { return e.Key + ": " + e.Problem + "; " + e.Remedy }

// Bounds of a pattern, so that a play ends within minutes.
const (
	maxInstances = 20_000
	maxDuration  = 10 * time.Minute
	maxPerSecond = 100_000
	maxTimes     = 16
)

// Validate reports the first value that cannot be played.
func (p *Pattern) Validate() error {
	if p.Duration <= 0 || p.Duration > maxDuration {
		return &PatternError{"duration", fmt.Sprintf("%v is not a duration that can be played", p.Duration), "use up to " + maxDuration.String()}
	}
	if p.DataCentres < 1 {
		return &PatternError{"data_centres", "there are none", "use 1 or more"}
	}
	if p.Repeats.Window <= 0 || p.Repeats.Ratio < 0 || p.Repeats.Allowance < 0 {
		return &PatternError{"repeats", "the limits are not usable", "use a window above 0, and a ratio and an allowance of 0 or more"}
	}
	services, instances := make(map[string]bool), 0
	for i, s := range p.Services {
		key := fmt.Sprintf("services[%d]", i)
		if s.Name == "" || services[s.Name] || s.Instances < 1 || s.Slots < 1 {
			return &PatternError{key, "the service is not usable", "give it a name of its own, instances and slots"}
		}
		if err := s.validateSpeed(key); err != nil {
			return err
		}
		services[s.Name] = true
		instances += s.Instances
	}
	if instances == 0 || instances > maxInstances {
		return &PatternError{"services", fmt.Sprintf("there are %d instances", instances), fmt.Sprintf("use 1 to %d", maxInstances)}
	}
	if err := p.validateKinds(services); err != nil {
		return err
	}
	for i, t := range p.Troubles {
		if err := t.validate(fmt.Sprintf("troubles[%d]", i), services); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pattern) validateKinds(services map[string]bool) error {
	kinds := make(map[string]*Kind)
	for i := range p.Kinds {
		k, key := &p.Kinds[i], fmt.Sprintf("kinds[%d]", i)
		switch {
		case k.Name == "" || kinds[k.Name] != nil:
			return &PatternError{key + ".name", fmt.Sprintf("%q is empty or used twice", k.Name), "give each kind a name of its own"}
		case !services[k.Service]:
			return &PatternError{key + ".service", fmt.Sprintf("service %q does not exist", k.Service), "name one of services"}
		case k.PerSecond < 0 || k.PerSecond > maxPerSecond:
			return &PatternError{key + ".per_second", fmt.Sprintf("%v cannot be played", k.PerSecond), fmt.Sprintf("use 0 to %d", maxPerSecond)}
		case k.Run <= 0 || k.Goal <= 0 || k.Deadline < k.Goal:
			return &PatternError{key, "run, goal or deadline is not usable", "use durations above 0 and a deadline of at least the goal"}
		case k.MaxAttempts < 1 || k.Returns < 0:
			return &PatternError{key + ".max_attempts", "the attempts are not usable", "use max_attempts of 1 or more and returns of 0 or more"}
		}
		kinds[k.Name] = k
	}
	for i := range p.Kinds {
		c, key := p.Kinds[i].Calls, fmt.Sprintf("kinds[%d].calls", i)
		switch {
		case c == nil:
		case kinds[c.Kind] == nil || kinds[c.Kind].Calls != nil:
			return &PatternError{key + ".kind", fmt.Sprintf("%q does not exist or makes calls itself", c.Kind), "name a kind without calls"}
		case c.Times < 1 || c.Times > maxTimes || c.Share < 0 || c.Share > 1:
			return &PatternError{key, "times or share is out of range", fmt.Sprintf("use 1 to %d times and a share of 0 to 1", maxTimes)}
		}
	}
	if len(kinds) == 0 {
		return &PatternError{"kinds", "there are none", "name at least one kind of request"}
	}
	return nil
}

func (t *Trouble) validate(key string, services map[string]bool) error {
	switch t.What {
	case Slow, Limit, Burst:
		if t.Factor <= 0 {
			return &PatternError{key + ".factor", fmt.Sprintf("%v is not above 0", t.Factor), "use a factor above 0"}
		}
	case Shed, Fail:
		if t.Factor < 0 || t.Factor > 1 {
			return &PatternError{key + ".factor", fmt.Sprintf("%v is not a share", t.Factor), "use 0 to 1"}
		}
	case Leave:
	default:
		return &PatternError{key + ".what", fmt.Sprintf("%q is not known", t.What), "use slow, shed, fail, limit, leave or burst"}
	}
	if t.What != Burst && (!services[t.Service] || t.Share < 0 || t.Share > 1) {
		return &PatternError{key, "service or share is not usable", "name one of services and a share of 0 to 1"}
	}
	if t.From < 0 || t.To <= t.From {
		return &PatternError{key + ".to", "the trouble ends before it begins", "use from below to"}
	}
	return nil
}

// Scale changes the number of instances to n, and the requests and the allowance of repeats with it.
// Each service keeps at least one instance.
func (p *Pattern) Scale(n int) {
	total := 0
	for _, s := range p.Services {
		total += s.Instances
	}
	factor := float64(n) / float64(max(1, total))
	for i := range p.Services {
		p.Services[i].Instances = max(1, int(math.Round(factor*float64(p.Services[i].Instances))))
	}
	for i := range p.Kinds {
		p.Kinds[i].PerSecond *= factor
	}
	p.Repeats.Allowance *= factor
}
