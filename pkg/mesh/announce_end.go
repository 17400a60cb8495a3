package mesh

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// endsPath is the path to which a stopping daemon sends the time at which it ends.
	endsPath = "/mangoshed-peer/ends"
	// endsTimeout is the timeout of such a request.
	endsTimeout = time.Second
	// maxEndsBytes bounds the encoded IDs in such a request in bytes.
	maxEndsBytes = 1 << 20
)

// addWaiting records a job that waits for a response of the daemon at the address.
func (s *Sender) addWaiting(address, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address] == nil {
		s.inFlight[address] = make(map[string]int)
	}
	s.inFlight[address][id]++
}

// removeWaiting removes the record of a job that no longer waits for its response.
func (s *Sender) removeWaiting(address, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address][id]--; s.inFlight[address][id] <= 0 {
		delete(s.inFlight[address], id)
	}
	if len(s.inFlight[address]) == 0 {
		delete(s.inFlight, address)
	}
}

// waitingByAddress returns the IDs of the jobs that wait for a response, by the address of the daemon.
func (s *Sender) waitingByAddress() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]string, len(s.inFlight))
	for address, ids := range s.inFlight {
		for id := range ids {
			out[address] = append(out[address], id)
		}
	}
	return out
}

// AnnounceEnd sends the time at which this daemon ends to all daemons at which its jobs wait, so
// that they refuse in time the jobs that get no slot before it.
func (s *Sender) AnnounceEnd(ctx context.Context, end time.Time, log *zap.Logger) {
	ctx, cancel := context.WithTimeout(ctx, endsTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for address, ids := range s.waitingByAddress() {
		group.Go(func() {
			if err := s.announceEnd(ctx, end, address, ids); err != nil {
				log.Warn("end_not_announced", zap.String("daemon", address), zap.Int("jobs", len(ids)), zap.Error(err))
			}
		})
	}
}

// announceEnd sends the end of this daemon and the IDs of its waiting jobs to one daemon.
func (s *Sender) announceEnd(ctx context.Context, end time.Time, address string, ids []string) error {
	body, err := cbor.Marshal(ids)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(ctx, &exchange.Request{
		Address: address, Method: http.MethodPost, Target: endsPath + "?in=" + formatMillis(time.Until(end)), Host: address, Body: body, HasBody: true,
		MaxIdle: peerIdle,
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

// serveEnds handles the announcement of a daemon's end, which applies to its jobs that wait here.
func (d *Daemon) serveEnds(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get("in"), 10, 32)
	if err != nil {
		http.Error(w, "the query parameter \"in\" must be the number of milliseconds until the daemon ends", http.StatusBadRequest)
		return
	}
	body, refused, err := readBody(w, r, nil, maxEndsBytes, time.Now().Add(endsTimeout))
	var ids []string
	if err != nil || refused != nil || cbor.Unmarshal(body, &ids) != nil {
		http.Error(w, "the body must be the CBOR array of the IDs of the waiting jobs", http.StatusBadRequest)
		return
	}
	d.guard.SenderEndsAt(time.Now().Add(time.Duration(ms)*time.Millisecond), ids)
	w.WriteHeader(http.StatusNoContent)
}
