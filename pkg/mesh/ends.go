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
	// endsPath is the path at which a daemon that stops tells others when it ends.
	endsPath = "/mangoshed-peer/ends"
	// endsTimeout bounds such a call.
	endsTimeout = time.Second
	// maxEnds bounds the IDs in such a call in bytes.
	maxEnds = 1 << 20
)

// note remembers a job that waits for an answer of the daemon with the address.
func (s *Sender) note(address, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[address] == nil {
		s.waiting[address] = make(map[string]int)
	}
	s.waiting[address][id]++
}

// forget forgets a job that has its answer.
func (s *Sender) forget(address, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[address][id]--; s.waiting[address][id] <= 0 {
		delete(s.waiting[address], id)
	}
	if len(s.waiting[address]) == 0 {
		delete(s.waiting, address)
	}
}

// waitingAt returns the IDs of the jobs that wait for an answer, by address.
func (s *Sender) waitingAt() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]string, len(s.waiting))
	for address, ids := range s.waiting {
		for id := range ids {
			out[address] = append(out[address], id)
		}
	}
	return out
}

// AnnounceEnd tells the daemons beside which jobs wait when this one ends, so that they give back
// in time what gets no slot.
func (s *Sender) AnnounceEnd(ctx context.Context, end time.Time, log *zap.Logger) {
	ctx, cancel := context.WithTimeout(ctx, endsTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for address, ids := range s.waitingAt() {
		group.Go(func() {
			if err := s.announceEnd(ctx, end, address, ids); err != nil {
				log.Warn("end_not_announced", zap.String("daemon", address), zap.Int("jobs", len(ids)), zap.Error(err))
			}
		})
	}
}

func (s *Sender) announceEnd(ctx context.Context, end time.Time, address string, ids []string) error {
	body, err := cbor.Marshal(ids)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(ctx, &exchange.Request{
		Address: address, Method: http.MethodPost, Target: endsPath + "?in=" + millis(time.Until(end)), Host: address, Body: body, HasBody: true,
		MaxIdle: peerIdle,
	})
	if err != nil {
		return err
	}
	defer resp.Release()
	if resp.Status != http.StatusNoContent {
		return fmt.Errorf("daemon %s answered with status %d; it may be of an earlier version", address, resp.Status)
	}
	return nil
}

// serveEnds takes the end of a daemon whose jobs wait here.
func (d *Daemon) serveEnds(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get("in"), 10, 32)
	if err != nil {
		http.Error(w, "say in how many milliseconds the daemon ends", http.StatusBadRequest)
		return
	}
	body, refused, err := readBody(w, r, maxEnds)
	var ids []string
	if err != nil || refused != nil || cbor.Unmarshal(body, &ids) != nil {
		http.Error(w, "send the IDs of the jobs that wait", http.StatusBadRequest)
		return
	}
	d.guard.SenderEndsAt(time.Now().Add(time.Duration(ms)*time.Millisecond), ids)
	w.WriteHeader(http.StatusNoContent)
}
