package loadsim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Pace is how long work takes on the hosts of a service's instances. The pace of each host is drawn anew
// after every Interval, at times that differ between the hosts.
type Pace struct {
	// Factor multiplies the time that work takes during the share Share of the intervals.
	Factor   float64       `yaml:"factor"`
	Share    float64       `yaml:"share"`
	Interval time.Duration `yaml:"interval"`
	// Hidden keeps the upstreams from reporting the pace.
	Hidden bool `yaml:"hidden"`
}

// Bounds of speeds and paces, so that a play ends.
const (
	minSpeed, maxSpeed = 0.01, 100.0
	minInterval        = 10 * time.Millisecond
)

// validateSpeed reports the first speed or pace of a service that cannot be played.
func (s *Service) validateSpeed(key string) error {
	for i, speed := range s.Speeds {
		if !(speed >= minSpeed && speed <= maxSpeed) {
			return &PatternError{fmt.Sprintf("%s.speeds[%d]", key, i), fmt.Sprintf("%v cannot be played", speed), fmt.Sprintf("use %v to %v", minSpeed, maxSpeed)}
		}
	}
	p := s.Pace
	switch {
	case p == nil:
	case !(p.Factor >= minSpeed && p.Factor <= maxSpeed):
		return &PatternError{key + ".pace.factor", fmt.Sprintf("%v cannot be played", p.Factor), fmt.Sprintf("use %v to %v", minSpeed, maxSpeed)}
	case !(p.Share >= 0 && p.Share <= 1):
		return &PatternError{key + ".pace.share", fmt.Sprintf("%v is not a share", p.Share), "use 0 to 1"}
	case p.Interval < minInterval:
		return &PatternError{key + ".pace.interval", fmt.Sprintf("%v is too short", p.Interval), "use at least " + minInterval.String()}
	}
	return nil
}

// relativeSpeed returns the work that the instances do in a time, as a multiple of that at usual speed and
// pace.
func (s *Service) relativeSpeed() float64 {
	relative := 1.0
	if len(s.Speeds) > 0 {
		relative = 0
		for i := range s.Instances {
			relative += 1 / s.Speeds[i%len(s.Speeds)] / float64(s.Instances)
		}
	}
	if p := s.Pace; p != nil {
		relative *= 1 - p.Share + p.Share/p.Factor
	}
	return relative
}

// paceTrack holds the paces of one host, drawn as far as they have been asked for.
type paceTrack struct {
	rule   *Pace
	random *rand.Rand
	first  time.Time // beginning of the first interval
	drawn  []float64
}

// at returns the pace at a time, and the time at which the next one begins.
func (p *paceTrack) at(t time.Time) (factor float64, next time.Time) {
	n := int(t.Sub(p.first) / p.rule.Interval)
	for len(p.drawn) <= n {
		factor := 1.0
		if p.random.Float64() < p.rule.Share {
			factor = p.rule.Factor
		}
		p.drawn = append(p.drawn, factor)
	}
	return p.drawn[n], p.first.Add(time.Duration(n+1) * p.rule.Interval)
}

// setSpeed sets the speed and the pace of a node.
func (s *sim) setSpeed(n *node) {
	n.speed = 1
	for i := range s.pattern.Services {
		service := &s.pattern.Services[i]
		if service.Name != n.instance.Service {
			continue
		}
		if len(service.Speeds) > 0 {
			// Ranks are random, so that the speeds do not go with the data centres.
			rank := int(s.ranked[n.instance.ID]*float64(service.Instances) + 0.5)
			n.speed = service.Speeds[rank%len(service.Speeds)]
		}
		if service.Pace != nil {
			// Draws of their own keep the requests of a pattern equal with and without a pace.
			random := rand.New(rand.NewPCG(s.pattern.Seed, uint64(n.index)+1))
			phase := time.Duration(random.Float64() * float64(service.Pace.Interval))
			n.pace = &paceTrack{rule: service.Pace, random: random, first: s.start.Add(-phase)}
		}
	}
}

// timeFor returns the time that work of a duration at usual pace takes from now on.
func (s *sim) timeFor(n *node, work time.Duration) time.Duration {
	if n.pace == nil {
		return work
	}
	left, at := float64(work), s.now
	for {
		factor, next := n.pace.at(at)
		span := next.Sub(at)
		if needed := left * factor; needed <= float64(span) {
			return at.Add(time.Duration(needed)).Sub(s.now)
		}
		left -= float64(span) / factor
		at = next
	}
}

// reportPace tells the queue the pace that an upstream names in a response.
func (s *sim) reportPace(n *node) {
	if n.pace != nil && !n.pace.rule.Hidden {
		factor, _ := n.pace.at(s.now)
		n.queue.SetHostPace(s.now, factor)
	}
}
