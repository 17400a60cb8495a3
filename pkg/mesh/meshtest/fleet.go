package meshtest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh"
)

// DataCentres are the places of the stand-in fleet.
var DataCentres = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

// Member is one daemon with its upstream.
type Member struct {
	Daemon   *mesh.Daemon
	Upstream *Upstream
	Instance catalog.Instance
	Settings *mesh.Settings
}

// Fleet is a store with daemons and upstreams on loopback.
type Fleet struct {
	Store   *Store
	Members []*Member
	Log     *zap.Logger
}

// NewFleet returns a fleet without members.
func NewFleet(log *zap.Logger) *Fleet { return &Fleet{Store: NewStore(), Log: log} }

// ReadyPath is the path of readiness probes.
const ReadyPath = "/ready"

// Add starts an upstream and the daemon beside it, and lists the instance.
func (f *Fleet) Add(service, dataCentre string, slots int, work time.Duration) (*Member, error) {
	return f.add(service, dataCentre, slots, work, mesh.Limits{LogLinesPerSecond: 40})
}

// AddLimited adds a member whose daemon has so much memory.
func (f *Fleet) AddLimited(service, dataCentre string, slots, memoryMB int) (*Member, error) {
	return f.add(service, dataCentre, slots, 0, mesh.Limits{LogLinesPerSecond: 40, MemoryMB: memoryMB})
}

// AddWeak adds a member whose daemon has little processor time.
func (f *Fleet) AddWeak(service, dataCentre string) (*Member, error) {
	return f.add(service, dataCentre, 4, 0, mesh.Limits{LogLinesPerSecond: 40, Cores: 0.1})
}

func (f *Fleet) add(service, dataCentre string, slots int, work time.Duration, limits mesh.Limits) (*Member, error) {
	id := model.InstanceID(fmt.Sprintf("%s-%d", service, len(f.Members)+1))
	ip := ownIP()
	u, err := NewUpstreamAt(Headers, net.JoinHostPort(ip, "0"), id, slots, work)
	if err != nil {
		return nil, err
	}
	s := mesh.DefaultSettings()
	s.Instance = mesh.Instance{Service: service, Region: DataCentres[dataCentre], DataCentre: dataCentre}
	limits.PipelinedRequests = s.Limits.PipelinedRequests
	s.DataCentres, s.Limits = DataCentres, limits
	s.Upstream.Address = u.Addr()
	s.Bounds.Grace = 4 * time.Second
	s.Bounds.RetryAllowance = 10_000 // tests that need a small budget set their own
	if err := chooseAddresses(ip, &s.Listen.CallerAddress, &s.Listen.ForwardAddress, &s.Listen.ReadyAddress, &s.Listen.AdminAddress); err != nil {
		return nil, err
	}
	m := &Member{Upstream: u, Settings: &s, Instance: catalog.Instance{Upstream: u.Addr(), Slots: slots}}
	m.Instance.ID, m.Instance.Service, m.Instance.ForwardAddr = id, service, s.Listen.ForwardAddress
	m.Instance.Place = s.Place()
	if err := f.start(m); err != nil {
		u.Close()
		return nil, err
	}
	f.Store.Put(m.Instance)
	f.Members = append(f.Members, m)
	return m, nil
}

func (f *Fleet) start(m *Member) error {
	platform := mesh.Platform{Store: f.Store, Headers: Headers, ReadyPath: ReadyPath}
	d, err := mesh.New(m.Settings, platform, f.Log)
	if err != nil {
		return err
	}
	d.Start()
	m.Daemon = d
	return nil
}

// Restart starts the daemon of a member again, after it was closed.
func (f *Fleet) Restart(m *Member) error { return f.start(m) }

// members counts the members of this process.
var members atomic.Uint32

// ownIP returns a loopback address that no other member of this process has. Outgoing
// connections leave from 127.0.0.1, so that they cannot take a port that a member is about to
// bind.
func ownIP() string {
	n := members.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%80, n/250, n%250+1)
}

// chooseAddresses sets each of the addresses to a free port of the IP. All ports are bound at
// the same time, so that none is chosen twice.
func chooseAddresses(ip string, addresses ...*string) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

// Close stops all members.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		m.Daemon.Close()
		m.Upstream.Close()
	}
}

// Table returns a table with a safe, an unsafe and an upload route to the service on host "app".
func Table(version uint64, service string) *route.Table {
	to := []route.Share{{Service: service, Weight: 1}}
	base := route.Route{Host: "app", Timeout: 2 * time.Second, Goal: time.Second, Priority: 1, MaxAttempts: 3, Shares: to}
	safe, unsafe, upload := base, base, base
	safe.Name, safe.Prefix, safe.Kind = "read", "/read/", route.Safe
	unsafe.Name, unsafe.Prefix, unsafe.Kind = "write", "/write/", route.Unsafe
	upload.Name, upload.Prefix, upload.Kind = "upload", "/upload/", route.Upload
	t, err := route.New(version, []route.Route{safe, unsafe, upload}, []route.Service{{Name: service}}, route.Limits{})
	if err != nil {
		panic(err) // the table is a constant
	}
	return t
}
