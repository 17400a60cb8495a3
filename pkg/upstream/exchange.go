package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/quarantine"
)

const (
	// quarantinePath is the path of requests for suspects and convictions, below
	// forward.PeerPath.
	quarantinePath = "quarantine"
	// exchangePeriod is the time between two requests. Reports are flooded once, so a
	// daemon that starts or was cut off learns the rest from another instance. A request
	// that opens a connection costs about 5 KB, or 42 bytes/s at this period.
	exchangePeriod = 2 * time.Minute
	// exchangeRetry is the time until the next instance is asked after a failure.
	exchangeRetry = time.Second
)

// exchange keeps the time and the turn of requests for suspects and convictions.
type exchange struct {
	at   time.Time
	turn int
}

// exchangeQuarantine asks another instance of the service for its suspects and convictions:
// as soon as one is known, then every exchangePeriod. It does not wait for the answer.
func (g *Guard) exchangeQuarantine(now time.Time) {
	if g.cfg.Peers == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.exchange.at) {
		return
	}
	others := g.others()
	if len(others) == 0 {
		return
	}
	other := others[g.exchange.turn%len(others)]
	g.exchange.turn++
	g.exchange.at = now.Add(exchangePeriod)
	g.tasks.Go(func() {
		if err := g.askQuarantine(&other); err != nil {
			g.log.Debug("quarantine_request_failed", zap.String("instance", string(other.ID)), zap.Error(err))
			g.mu.Lock()
			defer g.mu.Unlock()
			g.exchange.at = time.Now().Add(exchangeRetry)
		}
	})
}

// others returns the other instances of the service, those of the own region only if there
// are any, because the link between regions is billed.
func (g *Guard) others() []model.Instance {
	var near, all []model.Instance
	instances, live := g.keys.view.of(g.cfg.Self.Service)
	for _, instance := range instances[:live] {
		if instance.ID == g.cfg.Self.ID {
			continue
		}
		all = append(all, instance)
		if instance.Place.Region == g.cfg.Self.Place.Region {
			near = append(near, instance)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// askQuarantine merges what another instance holds.
func (g *Guard) askQuarantine(other *model.Instance) error {
	ctx, cancel := context.WithTimeout(g.ctx, sendTimeout)
	defer cancel()
	resp, err := g.cfg.Peers.PostPeer(ctx, other, quarantinePath, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &statusError{resp.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReport+1))
	if err != nil {
		return err
	}
	g.Deliver(data)
	return nil
}

// isQuarantineRequest tells requests for the quarantine from ownership messages.
func isQuarantineRequest(r *http.Request) bool {
	return strings.HasSuffix(r.URL.Path, "/"+quarantinePath)
}

// serveQuarantine answers with all suspects and convictions.
func (g *Guard) serveQuarantine(w http.ResponseWriter) {
	g.mu.Lock()
	entries := g.quarantine.Snapshot(time.Now())
	g.mu.Unlock()
	if entries == nil {
		entries = []quarantine.Entry{}
	}
	data, err := cbor.Marshal(entries)
	if err != nil {
		g.log.Error("quarantine_report_failed", zap.Error(err))
		http.Error(w, "the quarantine cannot be encoded", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
