package mesh

import (
	"encoding/json"
	"log"
	"net/http"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
)

// Status is what a daemon tells operators about itself.
type Status struct {
	Ready     bool   `json:"ready"`
	Version   uint64 `json:"version"`
	Revision  uint64 `json:"revision"`
	Routes    int    `json:"routes"`
	Instances int    `json:"instances"`
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	Queued    int    `json:"queued"`
	// Suspects counts the requests known to crash upstreams, or suspected of it.
	Suspects int `json:"suspects"`
	// AnswerBytes are the bytes of answers that the daemon holds.
	AnswerBytes int64 `json:"answer_bytes"`
}

// View returns the daemon's present view of the fleet.
func (d *Daemon) View() *catalog.View { return d.fleet.View() }

// Fed reports whether a reader of the region feeds the daemon.
func (d *Daemon) Fed() bool { return d.follower.Reader() != "" }

// Status returns the daemon's present status.
func (d *Daemon) Status() Status {
	v, load := d.fleet.View(), d.guard.Load()
	s := Status{
		Ready: d.Ready(), Revision: v.Revision, Instances: len(v.Instances),
		Running: load.Running, Slots: load.Slots, Queued: load.Queued, Suspects: d.guard.suspects.count(),
		AnswerBytes: d.platform.Answers.Held(),
	}
	if v.Table != nil {
		s.Version, s.Routes = v.Table.Version, len(v.Table.Routes)
	}
	return s
}

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
