package distribution

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mangoshed.example/mangoshed/core/dissemination"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/peer"
	"mangoshed.example/mangoshed/pkg/platform"
	"mangoshed.example/mangoshed/pkg/platform/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bound is generous: it only ends tests that would hang.
const bound = time.Minute

// site is a stand-in platform with daemons around it.
type site struct {
	t         testing.TB
	platform  *standin.Platform
	url       string
	authority *identity.Authority
	daemons   map[model.InstanceID]*daemon
	listed    []model.Instance
}

type daemon struct {
	*Runner
	self      model.Instance
	transport *peer.Transport
	trail     *audit.Trail
	registry  *prometheus.Registry
	applied   chan *snapshot.Snapshot
	views     chan membership.View
	ready     chan bool
	delivered chan string
	events    chan string // events of the audit trail's log
	stopped   bool
	client    *platform.HTTP
}

func newSite(t testing.TB) *site {
	p := standin.New(standin.Config{})
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	authority, _, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	return &site{t: t, platform: p, url: server.URL, authority: authority, daemons: map[model.InstanceID]*daemon{}}
}

// start runs a daemon at an address that is free, or at its former one after a restart.
func (s *site) start(id model.InstanceID, region string) *daemon {
	listen := "127.0.0.1:0"
	if former := s.daemons[id]; former != nil {
		listen = former.self.ControlAddr
	}
	pair, err := s.authority.Issue(identity.Peer{Instance: id}, time.Now(), time.Hour)
	require.NoError(s.t, err)
	source, err := identity.FromPEM(s.authority.CertPEM(), pair.Cert, pair.Key)
	require.NoError(s.t, err)
	self := model.Instance{
		ID: id, Service: "shifts", Place: model.Place{Region: region, DataCentre: "a"}, ForwardAddr: "127.0.0.1:1",
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	transport, err := peer.New(peer.Config{Self: self, Listen: listen, Identity: source})
	require.NoError(s.t, err)
	self.ControlAddr = transport.Addr()
	client, err := platform.NewHTTP(platform.HTTPConfig{BaseURL: s.url})
	require.NoError(s.t, err)
	d := &daemon{
		self: self, transport: transport, client: client, registry: prometheus.NewRegistry(), events: make(chan string, 10000),
		applied: make(chan *snapshot.Snapshot, 1000), views: make(chan membership.View, 1000),
		ready: make(chan bool, 1000), delivered: make(chan string, 1000),
	}
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zapcore.InfoLevel),
		zap.Hooks(func(e zapcore.Entry) error { d.events <- e.Message; return nil }))
	d.trail = audit.NewTrail(log, 0)
	d.Runner = New(Config{
		Core:      dissemination.Config{Self: self, StoreRegion: "klang"},
		Transport: transport, Platform: client, Trail: d.trail, Registry: d.registry,
		OnApply:   func(current, _ *snapshot.Snapshot) { d.applied <- current },
		OnMembers: func(v membership.View) { d.views <- v },
		OnReady:   func(on bool) { d.ready <- on },
		OnDeliver: func(topic string, data []byte, from model.InstanceID) {
			d.delivered <- fmt.Sprintf("%s %s %s", topic, data, from)
		},
	})
	s.daemons[id] = d
	s.t.Cleanup(func() { s.stop(d) })
	return d
}

func (s *site) stop(d *daemon) {
	if d.stopped {
		return
	}
	d.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	d.Shutdown(ctx)
	d.client.Close()
}

// kill ends a daemon as the death of its process would.
func (d *daemon) kill() {
	d.stopped = true
	d.Kill()
	d.client.Close()
}

// run lists and starts daemons.
func (s *site) run(daemons ...*daemon) {
	s.listed = nil
	for _, d := range s.daemons {
		s.listed = append(s.listed, d.self)
	}
	s.platform.SetInstances(s.listed)
	for _, d := range daemons {
		require.NoError(s.t, d.Start())
	}
}

// publish puts a version into the store, segments first.
func (s *site) publish(v model.Version, weight int) {
	csv := "service,idempotent,internal,deadline_ms,weight:klang/a,limit_per_s:klang/a,weight:penang/a,limit_per_s:penang/a," +
		"weight:klang,limit_per_s:klang,weight:penang,limit_per_s:penang\n" +
		fmt.Sprintf("shifts,reads,no,1000,%d,,1,,1,,1,\n", weight)
	parsed, err := table.ParseCSV("table.csv", strings.NewReader(csv))
	require.NoError(s.t, err)
	_, manifest, segments, err := snapshot.Build(parsed, v, time.Now(), nil)
	require.NoError(s.t, err)
	for i, segment := range segments {
		_, err = s.platform.Put(snapshot.SegmentKey(manifest.Segments[i].Digest), segment)
		require.NoError(s.t, err)
	}
	encoded, err := snapshot.EncodeManifest(manifest)
	require.NoError(s.t, err)
	_, err = s.platform.Put(snapshot.ManifestKey, encoded)
	require.NoError(s.t, err)
}

// await receives from a channel until a value fits.
func await[T any](t testing.TB, from <-chan T, what string, fits func(T) bool) {
	t.Helper()
	deadline := time.After(bound)
	for {
		select {
		case v := <-from:
			if fits(v) {
				return
			}
		case <-deadline:
			t.Fatalf("no %s", what)
		}
	}
}

func (d *daemon) awaitVersion(t testing.TB, v model.Version) {
	t.Helper()
	await(t, d.applied, fmt.Sprintf("version %d on %s", v, d.self.ID), func(s *snapshot.Snapshot) bool {
		require.LessOrEqual(t, s.Version(), v)
		return s.Version() == v
	})
	require.GreaterOrEqual(t, d.Snapshot().Version(), v)
}

func (d *daemon) awaitReady(t testing.TB) {
	t.Helper()
	await(t, d.ready, "readiness of "+string(d.self.ID), func(on bool) bool { return on })
}

// Guards the whole path: store, watch, core, links, snapshot; and that daemons far from
// the store do not read it for each version.
func TestVersionReachesAllDaemons(t *testing.T) {
	s := newSite(t)
	s.publish(1, 1)
	a, b, c := s.start("a", "klang"), s.start("b", "klang"), s.start("c", "penang")
	s.run(a, b, c)
	all := []*daemon{a, b, c}
	for _, d := range all {
		d.awaitVersion(t, 1)
		d.awaitReady(t)
		await(t, d.views, "view", func(v membership.View) bool { return len(v.Instances) == 3 })
	}
	start := time.Now()
	s.publish(2, 2)
	for _, d := range all {
		d.awaitVersion(t, 2)
	}
	t.Logf("version 2 in force on 3 daemons after %s", time.Since(start))
	require.Equal(t, RoleReader, a.Role())
	require.Equal(t, RoleReader, b.Role())
	require.Equal(t, RoleEntry, c.Role())
	var applied audit.Entry // is recorded after the callback
	await(t, c.events, "audit entry", func(string) bool {
		applied = c.trail.Entries(1)[0]
		return applied.Kind == audit.Applied && applied.Version == 2
	})
	require.Contains(t, applied.Rows[0], "shifts")
	require.Contains(t, []string{"a", "b"}, applied.Source)
	require.Equal(t, map[string]float64{
		"mangoshed_applied_version": 2, "mangoshed_ready": 1, "mangoshed_members": 3, "mangoshed_unknown_messages_total": 0,
	}, c.values(t))
	c.Publish("suspects", []byte("x"))
	await(t, a.delivered, "message", func(m string) bool { return m == "suspects x c" })
}

// Guards against versions that stop when a reader leaves or dies, and against a restarted reader
// that misses versions or stays without links.
func TestReaderRestart(t *testing.T) {
	for _, c := range []struct {
		reader model.InstanceID
		killed bool
	}{{"a", false}, {"b", false}, {"a", true}, {"b", true}} {
		t.Run(fmt.Sprintf("%s killed %v", c.reader, c.killed), func(t *testing.T) {
			reader := c.reader
			s := newSite(t)
			s.publish(1, 1)
			for id, region := range map[model.InstanceID]string{"a": "klang", "b": "klang", "c": "penang"} {
				s.start(id, region)
			}
			s.run(s.daemons["a"], s.daemons["b"], s.daemons["c"])
			for _, d := range s.daemons {
				d.awaitVersion(t, 1)
				d.awaitReady(t)
			}
			if c.killed {
				s.daemons[reader].kill()
			} else {
				s.stop(s.daemons[reader])
			}
			start := time.Now()
			s.publish(2, 2)
			for id, d := range s.daemons {
				if id != reader {
					d.awaitVersion(t, 2)
				}
			}
			t.Logf("version 2 in force %s after the reader ended", time.Since(start))
			d := s.start(reader, "klang")
			s.run(d)
			d.awaitVersion(t, 2)
			d.awaitReady(t)
			s.publish(3, 3)
			for _, d := range s.daemons {
				d.awaitVersion(t, 3)
			}
		})
	}
}

// Guards against a store that takes versions away, or whose return is missed.
func TestStoreFaults(t *testing.T) {
	s := newSite(t)
	s.publish(1, 1)
	a := s.start("a", "klang")
	s.run(a)
	a.awaitVersion(t, 1)
	a.awaitReady(t)
	before := s.platform.Revision()
	s.publish(2, 2)
	a.awaitVersion(t, 2)
	require.NoError(t, s.platform.Rollback(before))
	await(t, a.events, "report of the stale store", func(e string) bool { return e == "version_stale" })
	require.Equal(t, model.Version(2), a.Snapshot().Version())
	s.publish(3, 3) // reuses the revisions that were rolled back
	a.awaitVersion(t, 3)
	s.platform.SetOutage(true)
	s.publish(4, 4)
	s.platform.SetOutage(false)
	a.awaitVersion(t, 4)
	s.platform.SetOutOfOrder(true)
	for v := model.Version(5); v < 9; v++ {
		s.publish(v, int(v))
		a.awaitVersion(t, v)
	}
}

// stranger is a handler of a peer that is no daemon; it reports the ends of its links.
type stranger struct{ up, down chan struct{} }

func (s stranger) LinkUp(model.InstanceID)          { s.up <- struct{}{} }
func (s stranger) LinkDown(model.InstanceID, error) { s.down <- struct{}{} }
func (s stranger) Frame(model.InstanceID, []byte)   {}

// Guards against messages that the core cannot read and that harm more than their link:
// unknown kinds, cut and oversized ones.
func TestUnreadableMessagesLoseNothing(t *testing.T) {
	s := newSite(t)
	s.publish(1, 1)
	a, b := s.start("a", "klang"), s.start("b", "penang")
	s.run(a, b)
	for _, d := range []*daemon{a, b} {
		d.awaitVersion(t, 1)
		d.awaitReady(t)
	}
	odd := s.start("odd", "klang") // only its certificate and its socket are used
	h := stranger{make(chan struct{}, 8), make(chan struct{}, 8)}
	require.NoError(t, odd.transport.Start(h))
	odd.stopped = true
	t.Cleanup(func() { odd.transport.Shutdown(context.Background()) })
	bad := [][]byte{{99, 1}, {1}, {1, 0xff, 0xff}, {4, 0x84}, bytes.Repeat([]byte{99}, 1<<20)}
	for n, message := range bad {
		odd.transport.Dial(a.self)
		await(t, h.up, "link", func(struct{}) bool { return true })
		require.NoError(t, odd.transport.Send("a", message))
		await(t, h.down, fmt.Sprintf("end of link %d", n), func(struct{}) bool { return true })
	}
	s.publish(2, 2)
	b.awaitVersion(t, 2)
	require.Equal(t, model.Version(2), a.Snapshot().Version())
	require.NotZero(t, a.values(t)["mangoshed_unknown_messages_total"])
}

// values returns the metrics without labels that tests look at.
func (d *daemon) values(t testing.TB) map[string]float64 {
	families, err := d.registry.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, f := range families {
		switch name := f.GetName(); name {
		case "mangoshed_applied_version", "mangoshed_ready", "mangoshed_members":
			values[name] = f.GetMetric()[0].GetGauge().GetValue()
		case "mangoshed_unknown_messages_total":
			values[name] = f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return values
}

// Guards against frames of a fast peer that grow the daemon's memory without bound.
func TestQueueIsBounded(t *testing.T) {
	q := newQueue()
	frames := 0
	for q.put(dissemination.Frame{}, 1<<20) {
		frames++
	}
	require.Equal(t, maxQueuedBytes>>20, frames)
	require.True(t, q.put(dissemination.LinkDown{}, 0), "the end of a link is never lost")
	require.Len(t, q.take(), frames+1)
	require.True(t, q.put(dissemination.Frame{}, 1<<20))
}
