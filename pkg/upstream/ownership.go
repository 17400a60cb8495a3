package upstream

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/once"
	"mangoshed.example/mangoshed/pkg/identity"
)

const (
	// ownershipPath is the path of ownership messages, below forward.PeerPath.
	ownershipPath = "ownership"
	// maxMessage bounds an ownership message and its answer in bytes: a page of records, or the
	// names of thousands of instances.
	maxMessage = 1 << 20
	// sendTimeout bounds one message and its answer.
	sendTimeout = 2 * time.Second
	// maxSending bounds the messages under way.
	maxSending = 64
	// readRetry is the least time between two readings of the platform's list.
	readRetry = 5 * time.Second
	// readsPerSecond is what all starting daemons together may read of the list: a twentieth
	// of the platform's 2,000 calls/s, so that a mass restart leaves the rest for the readers.
	readsPerSecond = 100
	// settleTicks is the number of regular ticks after which a pause that the distribution did not
	// notice counts as over. The distribution notices pauses of more than 1 s by itself.
	settleTicks = 20
)

// Peers sends a message to the daemon beside an instance and returns its answer.
type Peers interface {
	PostPeer(ctx context.Context, inst *model.Instance, path string, header http.Header, body []byte) (*http.Response, error)
}

// viewCache holds the instances of a view by service, live ones first.
type viewCache struct {
	current atomic.Pointer[map[string][]model.Instance]
}

func newKeys(g *Guard, now time.Time) *keys {
	core := once.New(once.Config{Self: g.cfg.Self, MaxKeys: g.cfg.MaxKeys, MaxAnswerBytes: g.cfg.MaxAnswerBytes}, now)
	return &keys{guard: g, core: core, moved: make(chan struct{}, 1), sending: make(chan struct{}, maxSending)}
}

// Owners returns the instances of the service in the order in which they can own the key: live
// ones first, because a leaving one owns no new keys and hands the others over. The next one can
// own the key when an earlier one answers not_owner or leaving.
func (g *Guard) Owners(service, key string) []model.Instance {
	all, _ := g.keys.view.of(service)
	ordered := once.Order(once.NewKey(service, key, 0), all)
	slices.SortStableFunc(ordered, func(a, b model.Instance) int { return int(a.State) - int(b.State) })
	return ordered
}

// of returns the instances of a service, the live ones first, and their number.
func (v *viewCache) of(service string) (all []model.Instance, live int) {
	m := v.current.Load()
	if m == nil {
		return nil, 0
	}
	all = (*m)[service]
	for live < len(all) && all[live].State == model.Live {
		live++
	}
	return all, live
}

// SetStale tells the guard whether the daemon's version and view are being checked after a
// pause. While they are, nothing runs that must not be repeated.
func (g *Guard) SetStale(stale bool) {
	k := g.keys
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stale = stale
	if !stale {
		k.core.ViewChecked(time.Now())
	}
}

// setView takes a view; fresh says that it was read from the platform after the start.
func (k *keys) setView(now time.Time, view membership.View, fresh bool) {
	services := make(map[string][]model.Instance)
	for i := range view.Instances {
		instance := view.Instances[i]
		services[instance.Service] = append(services[instance.Service], instance)
	}
	for _, instances := range services {
		slices.SortStableFunc(instances, func(a, b model.Instance) int { return int(a.State) - int(b.State) })
	}
	own := services[k.guard.cfg.Self.Service]
	k.mu.Lock()
	defer k.mu.Unlock()
	k.members = len(view.Instances)
	if !fresh { // a list that was read for ownership lacks the announced states
		k.view.current.Store(&services)
	}
	if view.Revision > 0 {
		k.send(k.core.List(now, once.List{Revision: view.Revision, Instances: own, Fresh: fresh}))
	}
}

// tick advances the core and reads the platform's list when the core needs it.
func (k *keys) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.send(k.core.Tick(now))
	if k.core.Paused(now) {
		if k.ticked++; k.ticked > settleTicks {
			k.core.ViewChecked(now)
		}
	} else {
		k.ticked = 0
	}
	k.scheduleRead(now)
}

// scheduleRead reads the platform's list when the core needs it, at a random time within
// the period in which the budget allows every known daemon one reading. It waits for a
// view, because an unchanged list then need not be sent.
func (k *keys) scheduleRead(now time.Time) {
	if !k.core.NeedsFreshList() || k.reading || k.members == 0 || k.guard.ctx.Err() != nil {
		return
	}
	spread := time.Duration(k.members) * time.Second / readsPerSecond
	if k.readAt.IsZero() {
		k.readAt = now.Add(rand.N(spread + 1))
	}
	if now.Before(k.readAt) {
		return
	}
	k.reading, k.readAt = true, now.Add(readRetry+rand.N(spread+1))
	k.guard.tasks.Go(k.readList)
}

func (k *keys) readList() {
	view, err := membership.View{}, errNoReader
	if k.guard.cfg.Fresh != nil {
		limited, cancel := context.WithTimeout(k.guard.ctx, sendTimeout)
		view, err = k.guard.cfg.Fresh(limited)
		cancel()
	}
	if err == nil {
		k.setView(time.Now(), view, true)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reading = false
	if err != nil {
		k.guard.log.Warn("instance_list_unreadable", zap.Error(err))
		if k.guard.cfg.UniqueIDs {
			k.send(k.core.FreshListFailed(time.Now()))
		}
	}
}

// listError reports that no reader of the platform's list is configured.
type listError struct{}

func (listError) Error() string { return "no reader of the platform's list; set Fresh" }

var errNoReader error = listError{}

// send starts the delivery of messages. Callers hold the lock. A message over the bound is
// dropped; the core sends it again.
func (k *keys) send(sends []once.Send) {
	for _, s := range sends {
		if k.guard.cfg.Peers == nil || k.guard.ctx.Err() != nil {
			return
		}
		select {
		case k.sending <- struct{}{}:
			k.guard.tasks.Go(func() {
				k.deliver(s)
				<-k.sending
			})
		default:
		}
	}
	k.progress()
}

func (k *keys) deliver(s once.Send) {
	reply, err := k.exchange(&s)
	if err != nil {
		k.guard.metrics.ownership.WithLabelValues("sent", "failed").Inc()
		k.guard.log.Debug("ownership_message_failed", zap.String("instance", string(s.To.ID)), zap.Error(err))
		return
	}
	k.guard.metrics.ownership.WithLabelValues("sent", "answered").Inc()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.send(k.core.Reply(time.Now(), s, reply))
}

func (k *keys) exchange(s *once.Send) (reply once.Reply, err error) {
	data, err := cbor.Marshal(s.Message)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(k.guard.ctx, sendTimeout)
	defer cancel()
	resp, err := k.guard.cfg.Peers.PostPeer(ctx, &s.To, ownershipPath, nil, data)
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return reply, &statusError{resp.StatusCode}
	}
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err == nil {
		err = cbor.Unmarshal(data, &reply)
	}
	return reply, err
}

// statusError reports an answer that is not 200.
type statusError struct{ code int }

func (e *statusError) Error() string {
	return "ownership message was answered " + strconv.Itoa(e.code) + "; see the log of the other daemon"
}

// ServeHTTP answers ownership messages and requests for the quarantine of other daemons. The
// sender of an ownership message must be the instance that its certificate names.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isQuarantineRequest(r) {
		g.serveQuarantine(w)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	var m once.Message
	if err == nil {
		err = cbor.Unmarshal(data, &m)
	}
	if err != nil {
		g.metrics.ownership.WithLabelValues("received", "malformed").Inc()
		http.Error(w, "malformed ownership message", http.StatusBadRequest)
		return
	}
	if r.TLS != nil {
		if peer, err := identity.PeerOf(*r.TLS); err != nil || peer.Instance != m.From.ID {
			g.metrics.ownership.WithLabelValues("received", "forbidden").Inc()
			http.Error(w, "the certificate names another instance", http.StatusForbidden)
			return
		}
	}
	g.keys.mu.Lock()
	reply, sends := g.keys.core.Handle(time.Now(), m)
	g.keys.send(sends)
	g.keys.mu.Unlock()
	g.metrics.ownership.WithLabelValues("received", "answered").Inc()
	if data, err = cbor.Marshal(reply); err == nil {
		_, _ = w.Write(data)
	}
}

func (k *keys) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.send(k.core.Leave(time.Now()))
}

// handOver hands the records to the other instances once no keyed request runs, and waits until
// they have them.
func (k *keys) handOver(ctx context.Context) error {
	k.mu.Lock()
	owner := k.core.Confirmed()
	k.mu.Unlock()
	for owner && !k.handedOver() {
		select {
		case <-k.moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// handedOver starts the hand-over if nothing keeps it, and reports whether it is complete.
func (k *keys) handedOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sends := k.core.HandOverRecords(time.Now()); len(sends) > 0 {
		k.send(sends)
	}
	return k.guard.cfg.Peers == nil || k.core.HandedOver()
}

// progress wakes handOver.
func (k *keys) progress() {
	select {
	case k.moved <- struct{}{}:
	default:
	}
}
