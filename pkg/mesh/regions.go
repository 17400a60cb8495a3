package mesh

import (
	"strings"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
)

// The lists of regions are checked by the sender, which chooses only among instances in the listed
// regions, and by the guard, whose table may be newer. Both use the table in force at the time of each
// attempt, not the one with which the request was accepted.

// path returns the path of the request, by which routes match.
func (j *Job) path() string {
	path, _, _ := strings.Cut(j.Target, "?")
	return path
}

// setTable sets the table in force. The caller holds the mutex.
func (g *Guard) setTable(table *route.Table) {
	if g.table.Swap(table) != table && table.Regional() {
		g.notifyRecheck()
	}
}

// notifyRecheck makes the jobs that wait check again whether they may be sent, and when. The caller holds the mutex.
func (g *Guard) notifyRecheck() {
	close(g.recheck)
	g.recheck = make(chan struct{})
}

// nextRecheck returns the channel that is closed at the next change after which the jobs that wait have to
// be checked again.
func (g *Guard) nextRecheck() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recheck
}

// checkRegion returns a refusal if the table in force does not allow the job's request in this region.
// The table of the sender may be older. A daemon without a table relies on the sender.
func (g *Guard) checkRegion(j *Job) *refusal.Refusal {
	table := g.table.Load()
	if table == nil || table.Allows(j.Route, j.Host, j.path(), g.region) {
		return nil
	}
	return regionRefusal(g.region)
}

// regionRefusal returns the refusal of a request whose route does not list a region.
func regionRefusal(region string) *refusal.Refusal {
	return notRun(refusal.RegionNotAllowed, "the route does not list the region "+region+"; send the request to an instance in a listed one", noInstanceRetry)
}

// allowedRegions returns the regions in which the request may run by the table in force; empty means all.
// If the table has no route for the request any more, the list under which it was accepted applies.
func (i *Ingress) allowedRegions(req *request) []string {
	if table := i.fleet.View().Table; table != nil && table.Version != req.version {
		if r := table.Governing(req.route.Name, req.job.Host, req.job.path()); r != nil {
			return r.Regions
		}
	}
	return req.route.Regions
}

// allows reports whether the request may run in a region by the table in force.
func (i *Ingress) allows(req *request, region string) bool {
	r := route.Route{Regions: i.allowedRegions(req)}
	return r.Allows(region)
}

// noInstance returns the refusal of a request for which no instance can be chosen.
func noInstance(service string, regions []string) *refusal.Refusal {
	where := ""
	if len(regions) > 0 {
		where = " in the regions of the route (" + strings.Join(regions, ", ") + ")"
	}
	return notRun(refusal.NoInstance, "no live instance of "+service+where+" can be reached; try again", noInstanceRetry)
}
