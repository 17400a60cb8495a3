package mesh

import (
	"bytes"
	_ "embed" // the example
	"errors"
	"fmt"
	"io"
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
	Instance Instance `yaml:"instance"`
	Listen   Listen   `yaml:"listen"`
	Upstream Upstream `yaml:"upstream"`
	Store    StoreAt  `yaml:"store"`
	// DataCentres maps the name of each data centre to its region.
	DataCentres map[string]string `yaml:"data_centres"`
	// Seeds are forward addresses of daemons to ask at the start while the store is away.
	Seeds  []string `yaml:"seeds"`
	Limits Limits   `yaml:"limits"`
	Bounds Bounds   `yaml:"bounds"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `yaml:"log_level"`
}

// Instance names the upstream instance beside the daemon; its ID is learnt from the store.
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
	// SeedAddress serves daemons that start, if other settings name it as a seed; may be empty.
	SeedAddress string `yaml:"seed_address"`
	// AdminAddress serves metrics and the operator's requests.
	AdminAddress string `yaml:"admin_address"`
}

// Upstream is the application beside the daemon.
type Upstream struct {
	Address string `yaml:"address"`
}

// StoreAt is the address of the platform's store.
type StoreAt struct {
	Address string `yaml:"address"`
}

// Limits bound the daemon's resources.
type Limits struct {
	// MemoryMB is the memory that the process may use, in MB; 0 sets no limit.
	MemoryMB int `yaml:"memory_mb"`
	// Cores is the processor time that the process may use, in cores, and LinkMbps the rate of
	// its link; 0 means plenty. A daemon with little of either does not read for others.
	Cores    float64 `yaml:"cores"`
	LinkMbps float64 `yaml:"link_mbps"`
	// LogLinesPerSecond bounds the lines about single requests; default 40.
	LogLinesPerSecond int `yaml:"log_lines_per_second"`
}

// A reader encodes each change once and sends it to all that it feeds: at 300 daemons in two
// regions some 75, with 20 kB for a large change. With less than this it takes seconds.
const (
	minReaderCores = 0.2
	minReaderMbps  = 20
)

// weak reports whether the daemon does not read the store for others.
func (l *Limits) weak() bool {
	return l.Cores > 0 && l.Cores < minReaderCores || l.LinkMbps > 0 && l.LinkMbps < minReaderMbps
}

// Answers are held as a whole, those of upstreams, of other daemons and of the store.
const (
	// answerShare is the part of the memory limit that they may take at once. With the rest of a
	// daemon (CAPACITY.md) they stay below memoryShare on small machines.
	answerShare = 0.4
	// unlimitedAnswers is what they may take where the settings set no memory limit, in bytes.
	unlimitedAnswers = 512 << 20
)

// AnswerBudget returns the budget for all answers that the daemon holds at once.
func (l *Limits) AnswerBudget() *exchange.Budget {
	const remedy = "raise limits.memory_mb, or let upstreams answer in parts"
	if l.MemoryMB <= 0 {
		return exchange.NewBudget(unlimitedAnswers, remedy)
	}
	return exchange.NewBudget(int64(answerShare*float64(l.MemoryMB<<20)), remedy)
}

// Bounds are what the platform promises and expects.
type Bounds struct {
	// RetryRatio and RetryAllowance bound repeated sends to a service over all daemons in
	// each RetryWindow.
	RetryRatio     float64       `yaml:"retry_ratio"`
	RetryAllowance float64       `yaml:"retry_allowance"`
	RetryWindow    time.Duration `yaml:"retry_window"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration `yaml:"grace"`
}

// SettingsError is one fault of the settings.
type SettingsError struct {
	Key     string
	Value   string
	Problem string
	Remedy  string
}

// Error names the key, the value, the problem and the remedy.
func (e *SettingsError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s: %s; %s", e.Key, e.Problem, e.Remedy)
	}
	return fmt.Sprintf("%s: value %q: %s; %s", e.Key, e.Value, e.Problem, e.Remedy)
}

// SettingsErrors holds all faults of the settings.
type SettingsErrors = faultlist.List[*SettingsError]

// DefaultSettings returns the settings that apply to absent keys.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info",
		Limits:   Limits{LogLinesPerSecond: 40},
		Bounds:   Bounds{RetryRatio: 0.1, RetryAllowance: 20, RetryWindow: 10 * time.Second, Grace: 10 * time.Second},
	}
}

//go:embed example.yaml
var example string

// Example returns complete, commented settings with every key.
func Example() string { return example }

// LoadSettings reads and checks a settings file. The error is a *SettingsErrors.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oneFault(path, "", "file cannot be read: "+err.Error(), "check the path and the permissions")
	}
	return ParseSettings(path, data)
}

// ParseSettings reads and checks settings; file names them in messages. The error is a *SettingsErrors.
func ParseSettings(file string, data []byte) (*Settings, error) {
	s := DefaultSettings()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return nil, oneFault(file, "", yaml.FormatError(err, false, false), "correct the line; mangoshed mesh example prints all keys")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

func oneFault(key, value, problem, remedy string) error {
	return &SettingsErrors{List: []*SettingsError{{Key: key, Value: value, Problem: problem, Remedy: remedy}}}
}

// Place returns the place of the daemon.
func (s *Settings) Place() model.Place {
	return model.Place{Region: s.Instance.Region, DataCentre: s.Instance.DataCentre}
}

// check reports all faults.
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
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryAllowance < 0 {
		add("bounds.retry_ratio", fmt.Sprint(s.Bounds.RetryRatio), "retry bounds are negative", "use 0 or more")
	}
	if s.Bounds.RetryWindow <= 0 || s.Bounds.Grace <= 0 {
		add("bounds.grace", s.Bounds.Grace.String(), "a duration is not positive", "use for example 6s")
	}
	if len(faults.List) > 0 {
		return &faults
	}
	return nil
}
