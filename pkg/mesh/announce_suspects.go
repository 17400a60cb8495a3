package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// suspectsPath is the path to which a daemon announces requests that crash upstreams.
	suspectsPath = "/mangoshed-peer/suspects"
	// announceFanout is the number of random daemons to which a daemon announces what is new to it.
	// They do the same, so that 19,000 daemons know it after some seven rounds.
	announceFanout = 4
	// announceInterval is the shortest time between two announcements of a daemon. A crash makes
	// all requests in flight suspects, also at other daemons, within a moment.
	announceInterval = 100 * time.Millisecond
	// announceTimeout is the timeout of one announcement.
	announceTimeout = time.Second
	// maxAnnounced bounds the entries of one announcement; a daemon with more leaves them to gossip.
	maxAnnounced = 256
	// maxAnnouncementBytes bounds the body of an announcement in bytes.
	maxAnnouncementBytes = maxAnnounced * 32
)

// announceSuspects announces new quarantine entries until the context ends. Gossip alone reaches a
// daemon only with the next message to it, which can be seconds away in a large or idle fleet.
func (s *Sender) announceSuspects(ctx context.Context, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.guard.suspects.news:
		}
		entries := s.guard.suspects.takeUnreported()
		if len(entries) == 0 {
			continue
		}
		var group sync.WaitGroup
		for _, address := range s.randomPeers(announceFanout) {
			group.Go(func() {
				if err := s.announceSuspectsTo(ctx, address, entries); err != nil && ctx.Err() == nil {
					log.Info("suspects_not_announced", zap.String("daemon", address), zap.Int("entries", len(entries)), zap.Error(err))
				}
			})
		}
		group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// announceSuspectsTo announces entries to one daemon.
func (s *Sender) announceSuspectsTo(ctx context.Context, address string, entries []quarantine.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	resp, err := s.client.Do(ctx, &exchange.Request{
		Address: address, Method: http.MethodPost, Target: suspectsPath, Host: address, Body: []byte(encodeEntries(entries, 0)), HasBody: true, MaxIdle: peerIdle,
	})
	if err != nil {
		return err
	}
	defer resp.Release()
	if resp.Status != http.StatusNoContent {
		return fmt.Errorf("daemon %s responded with status %d; it may run an earlier version that does not support this request", address, resp.Status)
	}
	return nil
}

// randomPeers returns the addresses of at most n random other daemons.
func (s *Sender) randomPeers(n int) []string {
	daemons := s.fleet.View().Daemons()
	var out []string
	for _, i := range rand.Perm(len(daemons)) {
		if address := daemons[i].ForwardAddr; address != s.ownAddress && len(out) < n {
			out = append(out, address)
		}
	}
	return out
}

// serveSuspects handles an announcement of another daemon.
func (d *Daemon) serveSuspects(w http.ResponseWriter, r *http.Request) {
	text, refused, err := readBody(w, r, nil, maxAnnouncementBytes, time.Now().Add(announceTimeout))
	if err != nil || refused != nil {
		http.Error(w, "the body must be a list of entries of the quarantine", http.StatusBadRequest)
		return
	}
	entries, _ := decodeEntries(string(text), maxAnnounced)
	d.guard.suspects.merge(time.Now(), entries)
	w.WriteHeader(http.StatusNoContent)
}
