package mesh

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/quarantine"
)

const (
	// maxGossip bounds the entries that a message between daemons carries.
	maxGossip = 8
	// gossipTime is the time for which a daemon tells others what it has learnt about a request.
	// Every pair of daemons exchanges messages many times meanwhile.
	gossipTime = 20 * time.Second
)

// suspects keeps what is known about requests that crash upstreams, and passes it on with
// the messages between daemons. It is safe for concurrent use.
type suspects struct {
	log *zap.Logger

	mu    sync.Mutex
	table *quarantine.Table
	news  map[quarantine.Fingerprint]news
}

// news is an entry that other daemons may not know yet.
type news struct {
	state quarantine.State
	until time.Time
}

func newSuspects(log *zap.Logger) *suspects {
	return &suspects{log: log, table: quarantine.NewTable(), news: make(map[quarantine.Fingerprint]news)}
}

// fingerprint identifies equal requests of one caller.
func (j *Job) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(j.Service+j.Caller, j.Method, j.Host+j.Target, j.Body)
}

// start registers a run.
func (s *suspects) start(now time.Time, f quarantine.Fingerprint) (*quarantine.Run, quarantine.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, verdict := s.table.Start(now, f)
	if run != nil {
		run.MarkSent()
	}
	return run, verdict
}

// end removes a run; one that was completed is cleared.
func (s *suspects) end(now time.Time, run *quarantine.Run, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(now, s.table.End(now, run, completed))
}

// crashed judges the requests that a crashed upstream had begun.
func (s *suspects) crashed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.table.RecordCrash(now)
	s.publish(now, report)
	for _, e := range report {
		if e.State == quarantine.Blocked {
			s.log.Warn("request_convicted", zap.String("fingerprint", strconv.FormatUint(uint64(e.Fingerprint), 16)))
		}
	}
}

// publish passes a report on. The caller holds the mutex.
func (s *suspects) publish(now time.Time, report []quarantine.Entry) {
	for _, e := range report {
		if len(s.news) < quarantine.MaxEntries {
			s.news[e.Fingerprint] = news{e.State, now.Add(gossipTime)}
		}
	}
}

// count returns the number of requests that are suspected or convicted.
func (s *suspects) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// gossip returns what other daemons may not know, as text; mostly nothing.
func (s *suspects) gossip(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.news) == 0 {
		return ""
	}
	var parts []string
	for f, n := range s.news {
		if !now.Before(n.until) {
			delete(s.news, f)
			continue
		}
		if len(parts) < maxGossip {
			parts = append(parts, strconv.FormatUint(uint64(f), 16)+":"+strconv.Itoa(int(n.state)))
		}
	}
	return strings.Join(parts, ",")
}

// hear takes what another daemon knows. What cannot be read tells nothing.
func (s *suspects) hear(now time.Time, text string) {
	if text == "" {
		return
	}
	var report []quarantine.Entry
	for _, part := range strings.SplitN(text, ",", maxGossip) {
		hex, state, ok := strings.Cut(part, ":")
		f, err1 := strconv.ParseUint(hex, 16, 64)
		n, err2 := strconv.ParseUint(state, 10, 8)
		if !ok || err1 != nil || err2 != nil || n < uint64(quarantine.Suspect) || n > uint64(quarantine.Cleared) {
			continue
		}
		report = append(report, quarantine.Entry{
			Fingerprint: quarantine.Fingerprint(f), State: quarantine.State(n), RemainingMillis: quarantine.Term.Milliseconds(),
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range report {
		if known, ok := s.news[e.Fingerprint]; ok && known.state == e.State {
			continue // passing it on again would keep it alive for ever
		}
		s.table.Merge(now, []quarantine.Entry{e})
		s.publish(now, []quarantine.Entry{e})
	}
}

// crashDial bounds the look whether an upstream has crashed. It is on the same host, where a
// refusal takes less than a millisecond.
const crashDial = 50 * time.Millisecond

// checkCrash finds out whether the upstream has crashed, after a connection has broken: one
// that crashed accepts no connections for a while. The answer about the broken connection
// waits for it, because it carries the news to the daemon that will see the request again.
func (g *Guard) checkCrash() {
	ctx, cancel := context.WithTimeout(context.Background(), crashDial)
	defer cancel()
	conn, err := g.client.Dial(ctx, g.address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		g.suspects.crashed(time.Now())
	}
}
