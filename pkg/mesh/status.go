package mesh

import (
	"encoding/json"
	"log"
	"net/http"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
)

// Status is the state of a daemon as reported to operators.
type Status struct {
	Ready   bool   `json:"ready"`
	Version uint64 `json:"version"`
	// Revision is the store's own revision of the view, and Era counts the restores of the store from an older
	// copy.
	Revision  uint64 `json:"revision"`
	Era       uint64 `json:"era"`
	Routes    int    `json:"routes"`
	Instances int    `json:"instances"`
	// Unnamed is the number of entries of the store that are not used because the table does not name
	// their service.
	Unnamed int `json:"unnamed"`
	Running int `json:"running"`
	Slots   int `json:"slots"`
	Queued  int `json:"queued"`
	// AwaitingBody is the number of running jobs whose body is still arriving from another daemon.
	AwaitingBody int64 `json:"awaiting_body"`
	// Suspects is the number of requests that are suspected of crashing upstreams or blocked for it,
	// Blocked that of those that are blocked.
	Suspects int `json:"suspects"`
	Blocked  int `json:"blocked"`
	// BlockedRequests are some of the blocked requests, those that have been blocked for longest first.
	BlockedRequests []BlockedRequest `json:"blocked_requests"`
	// Limit is the number of requests per second that the upstream takes by its own word, 0 if it has
	// named no limit.
	Limit float64 `json:"limit"`
	// Pace is how long work takes on the upstream's host now, in percent of the usual time: 100 if the
	// upstream has not reported it, or not of late.
	Pace int `json:"pace"`
	// ColdRate is the number of requests per second that the upstream gets at most because it counts as
	// cold, 0 if it does not.
	ColdRate float64 `json:"cold_rate"`
	// AnswerBytes is the size of the upstreams' responses that the daemon holds in memory.
	AnswerBytes int64 `json:"answer_bytes"`
	// Evacuated are the evacuated data centres, sorted by name.
	Evacuated []EvacuatedDataCentre `json:"evacuated"`
	// Unreachable are the hosts that get no requests because their daemon does not respond, those that have
	// been unreachable for longest first; UnreachableTotal is their number, also beyond the length of the list.
	Unreachable      []UnreachableHost `json:"unreachable"`
	UnreachableTotal int               `json:"unreachable_total"`
}

// maxBlockedRequests bounds the blocked requests in a status.
const maxBlockedRequests = 16

// BlockedRequest is a request that is refused because it has crashed upstreams.
type BlockedRequest struct {
	// Fingerprint is that of the log lines of its crashes.
	Fingerprint    string  `json:"fingerprint"`
	SecondsBlocked float64 `json:"seconds_blocked"`
	// Request is the ID of the request whose crash has blocked it, empty if another daemon has recorded that.
	Request string `json:"request"`
	// SecondsToTrial is the time until this daemon lets one such request through, if it may be repeated; 0 if another
	// daemon decides that.
	SecondsToTrial float64 `json:"seconds_to_trial"`
}

// View returns the daemon's current view of the fleet.
func (d *Daemon) View() *catalog.View { return d.fleet.View() }

// HasFeed reports whether the daemon gets its view from a feed of its region's reader.
func (d *Daemon) HasFeed() bool { return d.follower.Reader() != "" }

// Status returns the daemon's current status.
func (d *Daemon) Status() Status {
	v, load := d.fleet.View(), d.guard.Load()
	suspected, blocked := d.guard.suspects.count()
	s := Status{
		Ready: d.Ready(), Revision: catalog.StoreRevision(v.Revision), Era: catalog.Era(v.Revision), Instances: len(v.Instances), Unnamed: len(v.Unnamed),
		Running: load.Running, Slots: load.Slots, Queued: load.Queued, AwaitingBody: d.guard.awaitingBody.Load(), Suspects: suspected, Blocked: blocked,
		BlockedRequests: d.guard.suspects.blocked(time.Now(), maxBlockedRequests),
		Limit:           d.guard.Limit(), Pace: d.guard.Pace(), ColdRate: d.guard.Cold(),
		AnswerBytes: d.platform.Answers.Held(), Evacuated: d.evacuatedDataCentres(v),
	}
	s.Unreachable, s.UnreachableTotal = d.reach.status()
	if v.Table != nil {
		s.Version, s.Routes = v.Table.Version, len(v.Table.Routes)
	}
	return s
}

// serveStatus responds with the status as JSON.
func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.Status()); err != nil {
		d.log.Debug("status_not_sent", zap.Error(err))
	}
}

// errorLog returns a logger for the errors of an HTTP server's connections.
func (d *Daemon) errorLog(server string) *log.Logger {
	std, err := zap.NewStdLogAt(d.log.With(zap.String("server", server)), zap.DebugLevel)
	if err != nil {
		return nil
	}
	return std
}
