package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/platform"
)

// maxHold bounds the hold time that a watch can ask for.
const maxHold = time.Minute

// wait is the conditional part of a call.
type wait struct {
	conditional bool
	after       uint64
	hold        time.Duration
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "the platform can only be read; publish with its own tool", http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	cond, err := parseWait(query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key, isValue := strings.CutPrefix(r.URL.Path, platform.ValuesPath)
	if !isValue && r.URL.Path != platform.InstancesPath {
		http.NotFound(w, r)
		return
	}
	if !p.admit(isValue, cond.hold > 0) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	if !pause(r, p.cfg.Latency) {
		return
	}
	revisionOf := func(s state) uint64 { return s.listRevision }
	if isValue {
		revisionOf = func(s state) uint64 { return s.values[key].Revision }
	}
	s, status := p.await(r, cond, revisionOf)
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(revisionOf(s), 10))
	switch {
	case status != http.StatusOK:
		if status >= http.StatusBadRequest {
			p.count(func(c *Counts) { c.Failed++ })
		}
		w.WriteHeader(status)
	case isValue:
		p.writeValue(w, s, key)
	default:
		p.writeList(w, s, query, cond)
	}
}

// parseWait reads the parameters after and hold_ms.
func parseWait(query url.Values) (wait, error) {
	var c wait
	if !query.Has("after") {
		return c, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return c, fmt.Errorf("after: %w", err)
	}
	c = wait{conditional: true, after: after}
	if query.Has("hold_ms") {
		millis, err := strconv.ParseUint(query.Get("hold_ms"), 10, 32)
		if err != nil {
			return c, fmt.Errorf("hold_ms: %w", err)
		}
		c.hold = min(time.Duration(millis)*time.Millisecond, maxHold)
	}
	return c, nil
}

// admit counts a call and says whether it is within the rate.
func (p *Platform) admit(isValue, waits bool) bool {
	allowed := p.limiter.Allow()
	p.count(func(c *Counts) {
		switch {
		case !allowed:
			c.Refused++
		case isValue && waits:
			c.Watches++
		case isValue:
			c.Reads++
		case waits:
			c.ListWatches++
		default:
			c.Lists++
		}
	})
	return allowed
}

func (p *Platform) count(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

// pause waits for the configured latency; it returns false if the client left.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// await returns the state to answer from and the status. It waits for the hold time
// while the revision equals after.
func (p *Platform) await(r *http.Request, c wait, revisionOf func(state) uint64) (state, int) {
	deadline := time.NewTimer(c.hold)
	defer deadline.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := c.hold <= 0
	for {
		s := p.visible()
		revision := revisionOf(s)
		switch {
		case p.outage:
			return state{}, http.StatusServiceUnavailable
		case !c.conditional && revision == 0:
			return s, http.StatusNotFound
		case !c.conditional || revision > c.after:
			if s = p.crossed(s); revisionOf(s) == 0 {
				return s, http.StatusNotFound
			}
			return s, http.StatusOK
		case revision < c.after || expired:
			return s, http.StatusNotModified
		}
		changed := p.changed
		p.counts.Waiting++
		p.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		p.mu.Lock()
		p.counts.Waiting--
	}
}

func (p *Platform) writeValue(w http.ResponseWriter, s state, key string) {
	data := s.values[key].Data
	p.count(func(c *Counts) { c.AnswerBytes += int64(len(data)) })
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

// writeList answers with changes if the client asked for them and the history reaches
// back far enough, otherwise with a page of the complete list.
func (p *Platform) writeList(w http.ResponseWriter, s state, query url.Values, c wait) {
	page, ok := platform.ListPage{}, false
	if query.Has("changes") {
		page, ok = p.changes(s, c.after)
	}
	if !ok {
		start := 0
		if token := query.Get("page"); token != "" {
			var revision uint64
			if _, err := fmt.Sscanf(token, "%d-%d", &revision, &start); err != nil || start < 0 || start > len(s.instances) {
				http.Error(w, "page: unknown token", http.StatusBadRequest)
				return
			}
			if revision != s.listRevision {
				http.Error(w, "the list changed; read it again from the first page", http.StatusConflict)
				return
			}
		}
		page = p.page(s, start)
	}
	data, err := json.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	p.count(func(c *Counts) { c.AnswerBytes += int64(len(data)) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// page returns the part of the complete list that begins at start.
func (p *Platform) page(s state, start int) platform.ListPage {
	end := min(start+p.cfg.PageInstances, len(s.instances))
	page := platform.ListPage{Revision: s.listRevision, Instances: listed(s.instances[start:end])}
	if end < len(s.instances) {
		page.Next = fmt.Sprintf("%d-%d", s.listRevision, end)
	}
	return page
}

func listed(instances []model.Instance) []platform.ListedInstance {
	out := make([]platform.ListedInstance, len(instances))
	for n, i := range instances {
		out[n] = platform.Listed(i)
	}
	return out
}

// changes returns the difference between the list at revision base and s. It fails if
// the history does not hold that revision or if the difference does not fit a page.
func (p *Platform) changes(s state, base uint64) (platform.ListPage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.history {
		if old.listRevision != base {
			continue
		}
		before := make(map[model.InstanceID]model.Instance, len(old.instances))
		for _, i := range old.instances {
			before[i.ID] = i
		}
		page := platform.ListPage{Revision: s.listRevision, Base: base}
		var changed []model.Instance
		for _, i := range s.instances {
			if was, ok := before[i.ID]; !ok || was != i {
				changed = append(changed, i)
			}
			delete(before, i.ID)
		}
		for id := range before {
			page.Removed = append(page.Removed, id)
		}
		page.Instances = listed(changed)
		return page, len(changed)+len(page.Removed) <= p.cfg.PageInstances
	}
	return platform.ListPage{}, false
}
