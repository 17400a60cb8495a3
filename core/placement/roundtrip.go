package placement

import (
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// roundTripRise and roundTripFall are the largest relative changes of the estimated round
	// trip to a data centre by one measurement above or below it. Their ratio makes the estimate
	// converge to the time that two of three measurements do not exceed, so that one instance
	// behind a slow link does not determine the estimate of its data centre.
	roundTripRise, roundTripFall = 0.2, 0.1
	// roundTripHold is the time for which an estimate keeps its full weight, since the requests
	// that measure it take up to a second. After that the estimate returns to the base round trip
	// within roundTripDecay: a saturated link empties within seconds once requests avoid it.
	roundTripHold  = time.Second
	roundTripDecay = 2 * time.Second
	// maxRoundTrip bounds the measured round trip, so that requests with a timeout of a second
	// are still sent and measure it again. This matters after a pause of the process, when all
	// requests in flight seem to have spent the pause on the network.
	maxRoundTrip = 500 * time.Millisecond
)

// measuredRoundTrip is the estimated network round trip to a data centre from recent
// measurements.
type measuredRoundTrip struct {
	roundTrip time.Duration
	at        time.Time
}

// roundTrip returns the expected network round trip to an instance: the base value, or the
// measured one if that is longer.
func (p *Placer) roundTrip(now time.Time, inst *catalog.Instance) time.Duration {
	if inst.Host() == p.host {
		return 0
	}
	base := p.baseRoundTrip(inst.Place)
	m, ok := p.roundTrips[inst.Place]
	if !ok || m.roundTrip <= base {
		return base
	}
	return base + time.Duration(float64(m.roundTrip-base)*decay(max(0, now.Sub(m.at)-roundTripHold), roundTripDecay))
}

// baseRoundTrip returns the round trip to a place over links that are not saturated.
func (p *Placer) baseRoundTrip(place model.Place) time.Duration {
	switch place.DistanceTo(p.self) {
	case model.SameDataCentre:
		return p.costs.DataCentre
	case model.SameRegion:
		return p.costs.Region
	}
	return p.costs.Remote
}

// measureRoundTrip updates the estimate with the network round trip of one request to an
// instance.
func (p *Placer) measureRoundTrip(now time.Time, inst *catalog.Instance, measured time.Duration) {
	if measured <= 0 || inst.Host() == p.host {
		return
	}
	measured, roundTrip := min(measured, maxRoundTrip), p.roundTrip(now, inst)
	if measured > roundTrip {
		roundTrip += min(time.Duration(roundTripRise*float64(roundTrip)), measured-roundTrip)
	} else {
		roundTrip -= min(time.Duration(roundTripFall*float64(roundTrip)), roundTrip-measured)
	}
	p.roundTrips[inst.Place] = measuredRoundTrip{roundTrip: roundTrip, at: now}
}
