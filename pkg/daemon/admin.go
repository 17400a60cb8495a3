package daemon

import (
	"time"

	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/buildinfo"
	"mangoshed.example/mangoshed/pkg/operator"
)

// adminView shows a daemon to the admin server.
type adminView struct{ d *Daemon }

// Status implements operator.Daemon.
func (v adminView) Status() operator.Status {
	d := v.d
	view := d.runner.Members()
	load := d.calls.load()
	s := operator.Status{
		Instance: d.self.ID, Service: d.self.Service, Region: d.self.Place.Region, DataCentre: d.self.Place.DataCentre,
		State: "live", Ready: d.Ready(), NotReady: v.notReady(), Stale: d.runner.Stale(),
		Role: string(d.runner.Role()), StalenessSeconds: d.runner.Staleness().Seconds(),
		Members: len(view.Instances), MembersRevision: view.Revision, Links: d.transport.Links(),
		Slots: load.Slots, InFlight: load.InFlight, Queued: load.Queued,
		UptimeSeconds: time.Since(d.started).Seconds(), Release: buildinfo.Version(),
	}
	if d.leaving.Load() {
		s.State = "leaving"
	}
	if applied := d.applied.Load(); applied != nil {
		s.Version, s.Digest = applied.snapshot.Version(), applied.snapshot.Digest().String()
		s.Published, s.Applied = time.UnixMilli(applied.snapshot.Header().PublishedMillis), applied.at
	}
	for _, entry := range d.trail.Entries(0) {
		if entry.Kind == audit.Applied && entry.Version == s.Version {
			s.Source = entry.Source
			break
		}
	}
	return s
}

// notReady says why the daemon takes no new work; empty if it does.
func (v adminView) notReady() string {
	switch {
	case v.d.leaving.Load():
		return "the instance is leaving"
	case v.d.runner.Snapshot() == nil:
		return "no version of the table has arrived; check the store and the control links"
	case v.d.runner.Members().Revision == 0:
		return "no instance list has arrived; check the platform and the control links"
	case !v.d.runner.Ready():
		return "the version or the membership is being checked"
	}
	return ""
}

// Explain implements operator.Daemon.
func (v adminView) Explain(service string) routing.Explanation { return v.d.calls.explain(service) }

// Audit implements operator.Daemon.
func (v adminView) Audit(max int) []audit.Entry { return v.d.trail.Entries(max) }

// Drain implements operator.Daemon.
func (v adminView) Drain() { v.d.requestDrain.Do(func() { close(v.d.drainRequested) }) }
