// Package demo runs one small deployment on loopback, in one process: a stand-in of the
// platform, a daemon beside each upstream, callers, and an operator who publishes edits
// of the table. It counts what callers and operators care about. It simulates no network.
package demo

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"

	"mangoshed.example/mangoshed/core/model"
)

// Deployment describes the places and services of one demo.
type Deployment struct {
	Name string
	// StoreRegion is the region of the platform store.
	StoreRegion string
	Places      []model.Place
	Services    []Service
	// Slots is the number of requests that an upstream runs at once.
	Slots int
	// Connections is the number of connections that an upstream accepts.
	Connections int
}

// Service is one service of a deployment.
type Service struct {
	Name      string
	Instances int
	// FirstPlace is the index of the place of the first instance.
	FirstPlace int
	// Internal marks a service that only own services may call.
	Internal bool
}

// deployments holds the deployments by the name that the command line takes.
var deployments = map[string]Deployment{
	"kopi": {
		Name:        "kopi",
		StoreRegion: "klang",
		Places:      places("klang", "penang"),
		Services:    []Service{{Name: "shifts", Instances: 6}, {Name: "records", Instances: 4}},
		Slots:       9,
		Connections: 120,
	},
	"haddad": {
		Name:        "haddad",
		StoreRegion: "amman",
		Places:      places("amman", "irbid"),
		Services:    []Service{{Name: "slots", Instances: 7}, {Name: "files", Instances: 5}},
		Slots:       9,
		Connections: 130,
	},
}

// places returns two data centres for each region.
func places(regions ...string) []model.Place {
	var all []model.Place
	for _, region := range regions {
		all = append(all, model.Place{Region: region, DataCentre: "a"}, model.Place{Region: region, DataCentre: "b"})
	}
	return all
}

// UnknownDeploymentError reports a deployment name that the demo does not have.
type UnknownDeploymentError struct {
	Name string
}

// Error names the accepted deployments.
func (e *UnknownDeploymentError) Error() string {
	names := make([]string, 0, len(deployments))
	for name := range deployments {
		names = append(names, name)
	}
	sort.Strings(names)
	return fmt.Sprintf("deployment %q is unknown; use one of %s", e.Name, strings.Join(names, ", "))
}

// FindDeployment returns the deployment of that name or an *UnknownDeploymentError.
func FindDeployment(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return Deployment{}, &UnknownDeploymentError{Name: name}
	}
	return d, nil
}

// instances lists the deployment's instances without addresses, spread over its places
// in turn.
func (d Deployment) instances() []model.Instance {
	var all []model.Instance
	for _, service := range d.Services {
		for i := range service.Instances {
			all = append(all, model.Instance{
				ID:      model.InstanceID(fmt.Sprintf("%s-%d", service.Name, i+1)),
				Service: service.Name,
				Place:   d.Places[(service.FirstPlace+i)%len(d.Places)],
			})
		}
	}
	return all
}

// regions returns the names of the deployment's regions, sorted.
func (d Deployment) regions() []string {
	var names []string
	for _, place := range d.Places {
		names = append(names, place.Region)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// sortedServices returns the services sorted by name, as a table has them.
func (d Deployment) sortedServices() []Service {
	return slices.SortedFunc(slices.Values(d.Services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}
