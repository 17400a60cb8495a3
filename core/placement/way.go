package placement

import (
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// wayRise and wayFall change the time on the way to a data centre with each exchange that took
	// longer or less. Their ratio makes it the time that two of three exchanges do not exceed,
	// so that one instance behind a slow link does not speak for its data centre.
	wayRise, wayFall = 0.2, 0.1
	// wayHold is the time for which a measured way holds, since the exchanges that measure it take
	// up to a second. After it the way returns to its usual time within wayLife: a full link empties
	// within seconds once requests avoid it.
	wayHold = time.Second
	wayLife = 2 * time.Second
	// maxWay bounds a measured way: requests with a timeout of a second go on to measure it, also
	// after a pause of the process that all exchanges under way seem to have spent on the way.
	maxWay = 500 * time.Millisecond
)

// measured is the time to a data centre and back by the last exchanges.
type measured struct {
	way time.Duration
	at  time.Time
}

// way returns the time to an instance and back: the usual one, or the measured one if that is longer.
func (p *Placer) way(now time.Time, inst *catalog.Instance) time.Duration {
	if inst.Host() == p.host {
		return 0
	}
	usual := p.usualWay(inst.Place)
	m, ok := p.ways[inst.Place]
	if !ok || m.way <= usual {
		return usual
	}
	return usual + time.Duration(float64(m.way-usual)*decay(max(0, now.Sub(m.at)-wayHold), wayLife))
}

// usualWay returns the time to a place and back over links that are not full.
func (p *Placer) usualWay(place model.Place) time.Duration {
	switch place.DistanceTo(p.self) {
	case model.SameDataCentre:
		return p.costs.DataCentre
	case model.SameRegion:
		return p.costs.Region
	}
	return p.costs.Remote
}

// measure takes the time that an exchange with an instance spent on the way.
func (p *Placer) measure(now time.Time, inst *catalog.Instance, took time.Duration) {
	if took <= 0 || inst.Host() == p.host {
		return
	}
	took, way := min(took, maxWay), p.way(now, inst)
	if took > way {
		way += min(time.Duration(wayRise*float64(way)), took-way)
	} else {
		way -= min(time.Duration(wayFall*float64(way)), way-took)
	}
	p.ways[inst.Place] = measured{way: way, at: now}
}
