package demo

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/pkg/daemon"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/platform"
	"mangoshed.example/mangoshed/pkg/platform/standin"
	"mangoshed.example/mangoshed/pkg/settings"
)

// anyPort lets the system choose a free port on loopback.
const anyPort = "127.0.0.1:0"

// site is a running deployment.
type site struct {
	deployment   Deployment
	authority    *identity.Authority
	platform     *standin.Platform
	server       *http.Server
	address      string
	clients      []*platform.HTTP
	applications []*application
	daemons      []*daemon.Daemon
	ledger       *ledger
	progress     *progress
	signer       *snapshot.Signer
	signingKeys  []string
	seeded       bool // daemons started from now on know others
	log          *zap.Logger

	table   *table.Table
	current *snapshot.Snapshot
}

// newSite starts the stand-in of the platform, and an application and a daemon for each
// instance.
func newSite(d Deployment, signed bool, log *zap.Logger) (*site, error) {
	s := &site{deployment: d, platform: standin.New(standin.Config{}), ledger: newLedger(), progress: newProgress(), log: log}
	if signed {
		if err := s.makeSigner(); err != nil {
			return nil, err
		}
	}
	if err := s.start(); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

func (s *site) makeSigner() error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	s.signingKeys = []string{snapshot.FormatPublicKey(public)}
	s.signer, err = snapshot.NewSigner(private)
	return err
}

func (s *site) start() error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.platform, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	if s.authority, _, err = identity.NewAuthority("demo authority", time.Now()); err != nil {
		return err
	}
	s.table = firstTable(s.deployment)
	if _, _, err := s.publish(); err != nil {
		return err
	}
	for _, instance := range s.deployment.instances() {
		if err := s.startInstance(instance); err != nil {
			return err
		}
	}
	s.announceInstances()
	return nil
}

// startInstance starts the application and the daemon of one instance.
func (s *site) startInstance(instance model.Instance) error {
	app, err := startApplication(string(instance.ID), s.ledger)
	if err != nil {
		return err
	}
	s.applications = append(s.applications, app)
	s.daemons = append(s.daemons, nil)
	s.progress.add()
	return s.startDaemon(len(s.daemons)-1, instance)
}

// startDaemon starts the daemon beside the application with the same index.
func (s *site) startDaemon(index int, instance model.Instance) error {
	pair, err := s.authority.Issue(identity.Peer{Instance: instance.ID}, time.Now(), identity.LeafValidity)
	if err != nil {
		return err
	}
	source, err := identity.FromPEM(s.authority.CertPEM(), pair.Cert, pair.Key)
	if err != nil {
		return err
	}
	client, err := platform.NewHTTP(platform.HTTPConfig{BaseURL: "http://" + s.address})
	if err != nil {
		return err
	}
	s.clients = append(s.clients, client)
	d, err := daemon.New(daemon.Config{
		Settings: s.settings(instance, s.applications[index].address()), Identity: source, Platform: client, Log: s.log,
		OnApply: func(v model.Version) { s.progress.applied(index, v) },
	})
	if err != nil {
		return err
	}
	s.daemons[index] = d
	return d.Start()
}

// settings returns the settings of one instance.
func (s *site) settings(instance model.Instance, upstream string) *settings.Settings {
	all := settings.Default()
	all.Instance = settings.Instance{
		ID: string(instance.ID), Service: instance.Service, Region: instance.Place.Region, DataCentre: instance.Place.DataCentre,
	}
	all.Listen = settings.Listen{CallerAddress: anyPort, ForwardAddress: anyPort, ControlAddress: anyPort, AdminAddress: anyPort}
	all.Upstream.Address = upstream
	all.Upstream.Slots, all.Upstream.Connections = s.deployment.Slots, s.deployment.Connections
	all.Platform.Address, all.Platform.Region = s.address, s.deployment.StoreRegion
	all.SigningKeys = s.signingKeys
	if s.seeded {
		all.Seeds = s.seeds(instance)
	}
	return &all
}

// announceInstances puts the instances with their addresses on the platform's list.
func (s *site) announceInstances() {
	instances := make([]model.Instance, len(s.daemons))
	for i, d := range s.daemons {
		instances[i] = d.Self()
		instances[i].Incarnation = 0
	}
	s.platform.SetInstances(instances)
}

// firstTable gives every data centre an equal weight and lets regions stand in for each
// other.
func firstTable(d Deployment) *table.Table {
	t := &table.Table{Layout: table.Layout{DataCentres: d.Places, Regions: d.regions()}}
	for _, service := range d.sortedServices() {
		row := table.Row{Service: service.Name, Idempotent: table.Reads, Internal: service.Internal, Deadline: 2 * time.Second}
		for range t.Layout.DataCentres {
			row.DataCentres = append(row.DataCentres, table.Cell{Weight: 100, LimitPerSecond: table.NoLimit})
		}
		for range t.Layout.Regions {
			row.Regions = append(row.Regions, table.Cell{Weight: 100, LimitPerSecond: table.NoLimit})
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// editTable returns the table with one weight changed, as an operator would edit one
// cell of one row.
func editTable(t *table.Table, n int) *table.Table {
	edited := &table.Table{Layout: t.Layout, Rows: append([]table.Row(nil), t.Rows...)}
	row := &edited.Rows[n%len(edited.Rows)]
	row.DataCentres = append([]table.Cell(nil), row.DataCentres...)
	cell := &row.DataCentres[(n/len(edited.Rows))%len(row.DataCentres)]
	cell.Weight = 100 + uint32(n%50) + 1
	return edited
}

// publish puts the site's table into the store as the next version: segments first, the
// manifest last. It returns the version and the size of the row delta in bytes, 0 for the
// first version.
func (s *site) publish() (model.Version, int, error) {
	version := model.Version(1)
	if s.current != nil {
		version = s.current.Version() + 1
	}
	next, manifest, segments, err := snapshot.Build(s.table, version, time.Now(), s.signer)
	if err != nil {
		return 0, 0, err
	}
	for i, segment := range segments {
		key := snapshot.SegmentKey(manifest.Segments[i].Digest)
		if _, err := s.platform.Put(key, segment); err != nil {
			return 0, 0, err
		}
	}
	encoded, err := snapshot.EncodeManifest(manifest)
	if err != nil {
		return 0, 0, err
	}
	deltaBytes := 0
	if s.current != nil {
		delta, err := snapshot.MakeDelta(s.current, next)
		if err != nil {
			return 0, 0, err
		}
		deltaBytes = len(delta)
	}
	s.current = next
	s.progress.published(version)
	_, err = s.platform.Put(snapshot.ManifestKey, encoded)
	return version, deltaBytes, err
}

// stop drains all daemons at once and then ends the rest. It returns the number of
// daemons that had to cut calls.
func (s *site) stop(ctx context.Context) int {
	results := make(chan error, len(s.daemons))
	for _, d := range s.daemons {
		go func() { results <- d.Drain(ctx) }()
	}
	cut := 0
	for range s.daemons {
		if err := <-results; err != nil {
			cut++
		}
	}
	s.daemons = nil
	s.kill()
	return cut
}

// kill ends everything at once.
func (s *site) kill() {
	for _, d := range s.daemons {
		if d != nil {
			d.Kill()
		}
	}
	for _, a := range s.applications {
		a.close()
	}
	for _, c := range s.clients {
		c.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
}

func (s *site) services() []string {
	var names []string
	for _, service := range s.deployment.Services {
		names = append(names, service.Name)
	}
	return names
}

// targets lists the daemons' addresses for callers.
func (s *site) targets() []target {
	targets := make([]target, len(s.daemons))
	for i, d := range s.daemons {
		targets[i] = target{service: d.Self().Service, address: d.CallerAddr()}
	}
	return targets
}
