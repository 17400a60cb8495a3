package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/daemon"
	"mangoshed.example/mangoshed/pkg/peer"
	"mangoshed.example/mangoshed/pkg/settings"
)

// fleetReadyTimeout bounds the time until all daemons are ready; the dials of a large
// fleet are jittered over up to 10 s.
const fleetReadyTimeout = time.Minute

// seedsPerDistance is the number of neighbours that a new daemon asks at each distance.
const seedsPerDistance = 2

// shape is the size of a fleet for measurements.
type shape struct {
	Daemons, Regions, CentresPerRegion, Services int
}

// String names the shape in benchmarks.
func (s shape) String() string {
	return fmt.Sprintf("daemons=%d/data_centres=%dx%d/services=%d", s.Daemons, s.Regions, s.CentresPerRegion, s.Services)
}

// deployment spreads the daemons evenly over services and data centres.
func (s shape) deployment() Deployment {
	d := Deployment{Name: s.String(), Slots: 9, Connections: 120}
	for r := range s.Regions {
		for c := range s.CentresPerRegion {
			d.Places = append(d.Places, model.Place{Region: fmt.Sprintf("region-%02d", r), DataCentre: fmt.Sprintf("dc-%02d", c)})
		}
	}
	d.StoreRegion = d.Places[0].Region
	first := 0
	for i := range s.Services {
		share := (s.Daemons + i) / s.Services // the shares add up to s.Daemons
		d.Services = append(d.Services, Service{Name: fmt.Sprintf("service-%03d", i), Instances: share, FirstPlace: first})
		first += share
	}
	return d
}

// fleet is a site whose daemons are replaced and killed while their traffic is counted.
type fleet struct {
	*site
	gone peer.Traffic // of daemons that have ended
}

func startFleet(s shape) (*fleet, error) {
	site, err := newSite(s.deployment(), true, zap.NewNop())
	if err != nil {
		return nil, err
	}
	site.seeded = true
	return &fleet{site: site}, nil
}

// seeds picks neighbours of an instance at each distance, whether they run or not: the
// settings of an instance are older than a failure.
func (s *site) seeds(of model.Instance) []settings.Seed {
	var picked []settings.Seed
	count := map[model.Distance]int{}
	at := slices.IndexFunc(s.daemons, func(d *daemon.Daemon) bool { return d != nil && d.Self().ID == of.ID })
	for i := range s.daemons {
		d := s.daemons[(at+1+i)%len(s.daemons)]
		if d == nil || d.Self().ID == of.ID {
			continue
		}
		other := d.Self()
		distance := of.Place.DistanceTo(other.Place)
		if count[distance]++; count[distance] <= seedsPerDistance {
			picked = append(picked, settings.Seed{
				ID: string(other.ID), Region: other.Place.Region, DataCentre: other.Place.DataCentre, ControlAddress: other.ControlAddr,
			})
		}
	}
	return picked
}

// ended counts the traffic of a daemon that has stopped.
func (f *fleet) ended(d *daemon.Daemon) { f.gone = addTraffic(f.gone, d.Traffic()) }

// replace drains a daemon and starts another one for the same instance, at other
// addresses.
func (f *fleet) replace(ctx context.Context, index int) error {
	old := f.daemons[index]
	if err := old.Drain(ctx); err != nil {
		return err
	}
	if err := f.restart(index); err != nil {
		return err
	}
	f.announceInstances()
	return nil
}

// restart starts a daemon in place of one that has ended.
func (f *fleet) restart(index int) error {
	old := f.daemons[index]
	f.ended(old)
	f.progress.restart(index)
	instance := old.Self()
	instance.Incarnation = 0
	return f.startDaemon(index, instance)
}

// restartHalf kills every second daemon at once and starts all of them again.
func (f *fleet) restartHalf() error {
	var group sync.WaitGroup
	for i := 1; i < len(f.daemons); i += 2 {
		group.Go(f.daemons[i].Kill)
	}
	group.Wait()
	for i := 1; i < len(f.daemons); i += 2 {
		if err := f.restart(i); err != nil {
			return err
		}
	}
	f.announceInstances()
	return nil
}

// awaitReady waits until every daemon is ready with the current version.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetReadyTimeout)
	defer cancel()
	r := &run{site: f.site}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	version := f.current.Version()
	if _, ok := f.progress.wait(ctx, version, len(f.daemons)); !ok {
		held, _ := f.progress.holders(version)
		return &NotReadyError{Ready: held, Daemons: len(f.daemons)}
	}
	return nil
}

// links returns the number of links, each counted at both ends.
func (f *fleet) links() int {
	n := 0
	for _, d := range f.daemons {
		n += d.Links()
	}
	return n
}
