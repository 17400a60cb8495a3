// Package settings reads the settings of a daemon: YAML with strict keys, overridden by
// environment variables and flags. All faults of the settings are reported in one run.
package settings

import (
	"crypto/ed25519"
	_ "embed"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/identity"
)

// Settings are the settings of one daemon. Keys without a default are required.
type Settings struct {
	Instance Instance `yaml:"instance"`
	Listen   Listen   `yaml:"listen"`
	Upstream Upstream `yaml:"upstream"`
	Platform Platform `yaml:"platform"`
	TLS      TLS      `yaml:"tls"`
	// SigningKeys are the operator's public keys; default none: signatures are not required.
	SigningKeys []string `yaml:"signing_keys" validate:"max=2,unique,dive,signing_key"`
	// Seeds are daemons to ask before the platform's list is known; default none.
	Seeds  []Seed `yaml:"seeds" validate:"max=16,unique=ID,dive"`
	Limits Limits `yaml:"limits"`
	// DrainTimeoutSeconds is the longest time that a leaving daemon waits for running
	// requests; default 50.
	DrainTimeoutSeconds int `yaml:"drain_timeout_seconds" validate:"min=1,max=900"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
}

// Instance names the upstream instance that the daemon runs beside.
type Instance struct {
	ID         string `yaml:"id" validate:"required,instance_id"`
	Service    string `yaml:"service" validate:"required,label"`
	Region     string `yaml:"region" validate:"required,label"`
	DataCentre string `yaml:"data_centre" validate:"required,label"`
}

// Listen holds the addresses that the daemon listens on, as IP:PORT.
type Listen struct {
	// CallerAddress (TCP) takes calls of callers.
	CallerAddress string `yaml:"caller_address" validate:"required,ip_port"`
	// CallerTLSAddress (TCP) takes calls of callers over TLS, where own services show their
	// certificates; default none.
	CallerTLSAddress string `yaml:"caller_tls_address" validate:"omitempty,ip_port"`
	// ForwardAddress (TCP) takes calls of other daemons, which reach it by this address.
	ForwardAddress string `yaml:"forward_address" validate:"required,reachable"`
	// ControlAddress (UDP) takes control traffic of other daemons, which reach it by this address.
	ControlAddress string `yaml:"control_address" validate:"required,reachable"`
	// AdminAddress (TCP) serves health, metrics and the operator's requests.
	AdminAddress string `yaml:"admin_address" validate:"required,ip_port"`
}

// Upstream describes the local upstream.
type Upstream struct {
	// Address is the upstream's TCP address as IP:PORT.
	Address string `yaml:"address" validate:"required,reachable"`
	// Slots is the number of requests that it runs at once; default 9.
	Slots int `yaml:"slots" validate:"min=1,max=10000"`
	// Connections is the highest number of connections to it; default 120.
	Connections int `yaml:"connections" validate:"min=1,max=10000,gtefield=Slots"`
	// QueueLength is the number of requests that wait for a slot, half of
	// them of each class; default 6.
	QueueLength int `yaml:"queue_length" validate:"min=2,max=10000"`
}

// Platform describes the platform service.
type Platform struct {
	// Address is its TCP address as HOST:PORT.
	Address string `yaml:"address" validate:"required,host_port"`
	// Region is the region of the store, whose daemons read it.
	Region string `yaml:"region" validate:"required,label"`
	// HoldSeconds is the time after which a waiting watch returns; default 30.
	HoldSeconds int `yaml:"hold_seconds" validate:"min=1,max=300"`
}

// TLS names the PEM files of the daemon's certificate.
type TLS struct {
	CAFile   string `yaml:"ca_file" validate:"required"`
	CertFile string `yaml:"cert_file" validate:"required"`
	KeyFile  string `yaml:"key_file" validate:"required"`
}

// Seed is a daemon to ask at the start.
type Seed struct {
	ID             string `yaml:"id" validate:"required,instance_id"`
	Region         string `yaml:"region" validate:"required,label"`
	DataCentre     string `yaml:"data_centre" validate:"required,label"`
	ControlAddress string `yaml:"control_address" validate:"required,reachable"`
}

// Limits bound the memory and the connections of the daemon.
type Limits struct {
	// CallerConnections is the highest number of callers' connections to each address; default 2000.
	CallerConnections int `yaml:"caller_connections" validate:"min=1,max=100000"`
	// IdleTimeoutSeconds bounds the idle time of a read or write of a call; default 10.
	IdleTimeoutSeconds int `yaml:"idle_timeout_seconds" validate:"min=1,max=600"`
	// Keys is the number of idempotency keys that the daemon owns at most; default 50000.
	Keys int `yaml:"keys" validate:"min=1,max=1000000"`
	// AuditEntries is the length of the audit ring; default 1000.
	AuditEntries int `yaml:"audit_entries" validate:"min=1,max=100000"`
}

// Default returns the settings that apply to absent keys.
func Default() Settings {
	return Settings{
		Upstream:            Upstream{Slots: 9, Connections: 120, QueueLength: 18},
		Platform:            Platform{HoldSeconds: 30},
		DrainTimeoutSeconds: 50,
		LogLevel:            "info",
		Limits: Limits{
			CallerConnections: 2000, IdleTimeoutSeconds: 10,
			Keys: 50_000, AuditEntries: 1000,
		},
	}
}

//go:embed example.yaml
var example string

// Example returns complete, commented settings with every key.
func Example() string { return example }

// Self returns the instance as other daemons see it, without its incarnation.
func (s *Settings) Self() model.Instance {
	return model.Instance{
		ID: model.InstanceID(s.Instance.ID), Service: s.Instance.Service,
		Place:       model.Place{Region: s.Instance.Region, DataCentre: s.Instance.DataCentre},
		ControlAddr: s.Listen.ControlAddress, ForwardAddr: s.Listen.ForwardAddress,
	}
}

// SeedInstances returns the seeds as instances.
func (s *Settings) SeedInstances() []model.Instance {
	var seeds []model.Instance
	for _, seed := range s.Seeds {
		seeds = append(seeds, model.Instance{
			ID: model.InstanceID(seed.ID), Place: model.Place{Region: seed.Region, DataCentre: seed.DataCentre},
			ControlAddr: seed.ControlAddress,
		})
	}
	return seeds
}

// Verifier returns the verifier for the signing keys. The error is a *snapshot.Error.
func (s *Settings) Verifier() (*snapshot.Verifier, error) {
	var keys []ed25519.PublicKey
	for _, text := range s.SigningKeys {
		key, err := snapshot.ParsePublicKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return snapshot.NewVerifier(keys...)
}

// Files returns the certificate files.
func (s *Settings) Files() identity.Files {
	return identity.Files{CA: s.TLS.CAFile, Cert: s.TLS.CertFile, Key: s.TLS.KeyFile}
}

// DrainTimeout returns DrainTimeoutSeconds as a duration.
func (s *Settings) DrainTimeout() time.Duration {
	return time.Duration(s.DrainTimeoutSeconds) * time.Second
}
