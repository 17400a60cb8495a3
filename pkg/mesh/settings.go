package mesh

import (
	"bytes"
	_ "embed" // for example.yaml
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"mangoshed.example/mangoshed/core/faultlist"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// Settings are the settings of one daemon, read from YAML.
type Settings struct {
	Instance Instance      `yaml:"instance"`
	Listen   Listen        `yaml:"listen"`
	Upstream Upstream      `yaml:"upstream"`
	Store    StoreSettings `yaml:"store"`
	// DataCentres maps the name of each data centre to its region.
	DataCentres map[string]string `yaml:"data_centres"`
	// Seeds are the forward addresses of daemons that are asked for their state at startup if the
	// store is unavailable.
	Seeds  []string `yaml:"seeds"`
	Limits Limits   `yaml:"limits"`
	// Placement configures the choice of the instance for a request.
	Placement PlacementSettings `yaml:"placement"`
	Bounds    Bounds            `yaml:"bounds"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `yaml:"log_level"`
}

// Instance describes the upstream instance that the daemon serves. The ID of the instance is read
// from the store.
type Instance struct {
	Service    string `yaml:"service"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
}

// Listen holds the TCP addresses that the daemon listens on, as IP:PORT.
type Listen struct {
	CallerAddress  string `yaml:"caller_address"`
	ForwardAddress string `yaml:"forward_address"`
	ReadyAddress   string `yaml:"ready_address"`
	// SeedAddress serves the state to daemons that are starting. It is needed if other daemons list
	// it in their seeds; may be empty.
	SeedAddress string `yaml:"seed_address"`
	// AdminAddress serves metrics and the requests of operators; may be empty.
	AdminAddress string `yaml:"admin_address"`
}

// Upstream is the application that the daemon serves.
type Upstream struct {
	Address string `yaml:"address"`
}

// StoreSettings is the address of the platform's store.
type StoreSettings struct {
	Address string `yaml:"address"`
}

// PlacementSettings configure the choice of the instance for a request.
type PlacementSettings struct {
	// StayShare is the share of the time to a request's latency objective within which an instance of the
	// daemon's own data centre has to be expected to respond for the request to stay there; 0 compares the
	// instances of all data centres for each request.
	StayShare float64 `yaml:"stay_share"`
}

// Limits bound the daemon's resources.
type Limits struct {
	// MemoryMB is the memory limit of the process in MB; 0 sets no limit.
	MemoryMB int `yaml:"memory_mb"`
	// Cores is the CPU limit of the process in cores, and LinkMbps the bandwidth of its network
	// link in Mbit/s; 0 means unlimited. A daemon with too little of either does not become a
	// reader, which reads the store and feeds its changes to other daemons.
	Cores    float64 `yaml:"cores"`
	LinkMbps float64 `yaml:"link_mbps"`
	// LogLinesPerSecond is the maximum rate of log lines about single requests; default 40.
	LogLinesPerSecond int `yaml:"log_lines_per_second"`
	// PipelinedRequests is the number of pipelined requests of a caller's connection that run before the
	// request that is being answered has been answered; 0 disables it.
	PipelinedRequests int `yaml:"pipelined_requests"`
}

// A reader encodes each change once and sends it to all daemons that it feeds. In a fleet of 300
// daemons in two regions these are about 75, and a large change is 20 kB. With less CPU or
// bandwidth than these minimums, sending a change takes seconds.
const (
	minReaderCores = 0.2
	minReaderMbps  = 20
)

// belowReaderMinimum reports whether the daemon has too little CPU or bandwidth to be a reader.
func (l *Limits) belowReaderMinimum() bool {
	return l.Cores > 0 && l.Cores < minReaderCores || l.LinkMbps > 0 && l.LinkMbps < minReaderMbps
}

// Responses of upstreams, of other daemons and of the store are buffered as a whole.
const (
	// responseMemoryShare is the share of the memory limit that all buffered responses together may use.
	// Together with the other memory of a daemon (CAPACITY.md), they stay below memoryLimitRatio on
	// small machines.
	responseMemoryShare = 0.4
	// defaultResponseBudget is the maximum size of all buffered responses together, in bytes, if the
	// settings set no memory limit.
	defaultResponseBudget = 512 << 20
)

// ResponseBudget returns the memory budget for all responses that the daemon buffers at once.
func (l *Limits) ResponseBudget() *exchange.Budget {
	const remedy = "raise limits.memory_mb, or let upstreams split large responses"
	if l.MemoryMB <= 0 {
		return exchange.NewBudget(defaultResponseBudget, remedy)
	}
	return exchange.NewBudget(int64(responseMemoryShare*float64(l.MemoryMB<<20)), remedy)
}

// Bounds holds the limits that the platform sets for retries, for requests to cold upstreams and for the
// duration of a shutdown.
type Bounds struct {
	// RetryRatio and RetryAllowance set the retry budget of a service: in each RetryWindow, all
	// daemons together send at most RetryAllowance retries plus RetryRatio times the requests.
	RetryRatio     float64       `yaml:"retry_ratio"`
	RetryAllowance float64       `yaml:"retry_allowance"`
	RetryWindow    time.Duration `yaml:"retry_window"`
	// ColdRatio and ColdAllowance bound the requests to a cold upstream of a service that has a rate for
	// that: in each second at most ColdAllowance plus ColdRatio times the rate. A ColdRatio of 0 sets no
	// bound; the upstream then gets no more than the rate.
	ColdRatio     float64 `yaml:"cold_ratio"`
	ColdAllowance float64 `yaml:"cold_allowance"`
	// Grace is the grace period from SIGTERM until the process is killed.
	Grace time.Duration `yaml:"grace"`
}

// SettingsError is one error in the settings.
type SettingsError struct {
	Key     string
	Value   string
	Problem string
	Remedy  string
}

// Error returns the key, the value, the problem and the remedy.
func (e *SettingsError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s: %s; %s", e.Key, e.Problem, e.Remedy)
	}
	return fmt.Sprintf("%s: value %q: %s; %s", e.Key, e.Value, e.Problem, e.Remedy)
}

// SettingsErrors holds all errors found in the settings.
type SettingsErrors = faultlist.List[*SettingsError]

// DefaultSettings returns the settings with the default value of each key that has one.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info",
		Limits:   Limits{LogLinesPerSecond: 40, PipelinedRequests: 16},
		Bounds:   Bounds{RetryRatio: 0.1, RetryAllowance: 20, RetryWindow: 10 * time.Second, Grace: 10 * time.Second},
	}
}

//go:embed example.yaml
var example string

// Example returns complete example settings with every key and a comment for each.
func Example() string { return example }

// LoadSettings reads and validates a settings file. The error is a *SettingsErrors.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, singleError(path, "", "file cannot be read: "+err.Error(), "check the path and the permissions")
	}
	return ParseSettings(path, data)
}

// ParseSettings parses and validates settings. The file name is used in error messages. The error
// is a *SettingsErrors.
func ParseSettings(file string, data []byte) (*Settings, error) {
	s := DefaultSettings()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return nil, singleError(file, "", yaml.FormatError(err, false, false), "correct the line; mangoshed mesh example prints all keys")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

func singleError(key, value, problem, remedy string) error {
	return &SettingsErrors{List: []*SettingsError{{Key: key, Value: value, Problem: problem, Remedy: remedy}}}
}

// Place returns the region and the data centre of the daemon.
func (s *Settings) Place() model.Place {
	return model.Place{Region: s.Instance.Region, DataCentre: s.Instance.DataCentre}
}

// checkNumbers adds an error for each figure that is out of range or not a number.
func (s *Settings) checkNumbers(add func(key, value, problem, remedy string)) {
	for _, f := range [...]struct {
		key         string
		value, most float64
	}{
		{"limits.memory_mb", float64(s.Limits.MemoryMB), maxMemoryMB},
		{"limits.cores", s.Limits.Cores, maxCores},
		{"limits.link_mbps", s.Limits.LinkMbps, maxLinkMbps},
		{"limits.log_lines_per_second", float64(s.Limits.LogLinesPerSecond), maxLogLines},
		{"limits.pipelined_requests", float64(s.Limits.PipelinedRequests), maxPipelined},
		{"placement.stay_share", s.Placement.StayShare, 1},
		{"bounds.retry_ratio", s.Bounds.RetryRatio, maxRetryRatio},
		{"bounds.retry_allowance", s.Bounds.RetryAllowance, maxRetryAllowance},
		{"bounds.cold_ratio", s.Bounds.ColdRatio, maxColdRatio},
		{"bounds.cold_allowance", s.Bounds.ColdAllowance, maxColdAllowance},
	} {
		if math.IsNaN(f.value) || f.value < 0 || f.value > f.most {
			add(f.key, fmt.Sprint(f.value), "number is out of range", fmt.Sprintf("use 0 to %g", f.most))
		}
	}
}

// Upper bounds of the figures in the settings.
const (
	maxMemoryMB       = 16 << 20
	maxCores          = 4096
	maxLinkMbps       = 10e6
	maxLogLines       = 1e6
	maxPipelined      = 1024
	maxRetryRatio     = 100
	maxRetryAllowance = 1e6
	maxColdRatio      = 100
	maxColdAllowance  = 1e6
)

// check validates the settings and returns all errors as a *SettingsErrors.
func (s *Settings) check() error {
	var faults SettingsErrors
	add := func(key, value, problem, remedy string) {
		faults.List = append(faults.List, &SettingsError{Key: key, Value: value, Problem: problem, Remedy: remedy})
	}
	for _, f := range [...]struct{ key, value string }{
		{"instance.service", s.Instance.Service}, {"instance.region", s.Instance.Region}, {"instance.data_centre", s.Instance.DataCentre},
	} {
		if f.value == "" {
			add(f.key, "", "value is missing", "set it")
		}
	}
	for _, f := range [...]struct {
		key, value string
		optional   bool
	}{
		{"listen.caller_address", s.Listen.CallerAddress, false},
		{"listen.forward_address", s.Listen.ForwardAddress, false},
		{"listen.ready_address", s.Listen.ReadyAddress, false},
		{"listen.seed_address", s.Listen.SeedAddress, true},
		{"listen.admin_address", s.Listen.AdminAddress, true},
		{"upstream.address", s.Upstream.Address, false},
		{"store.address", s.Store.Address, false},
	} {
		if f.optional && f.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			add(f.key, f.value, "value has the wrong form", "use IP:PORT")
		}
	}
	if region, ok := s.DataCentres[s.Instance.DataCentre]; s.Instance.DataCentre != "" && (!ok || region != s.Instance.Region) {
		add("data_centres", s.Instance.DataCentre, "the daemon's own data centre is not listed in its region", "list every data centre with its region")
	}
	s.checkNumbers(add)
	if s.Bounds.RetryWindow <= 0 || s.Bounds.Grace <= 0 {
		add("bounds.grace", s.Bounds.Grace.String(), "a duration is not positive", "use for example 6s")
	}
	if len(faults.List) > 0 {
		return &faults
	}
	return nil
}
