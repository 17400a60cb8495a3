package mesh

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
)

// blockingStore is a store that never responds and lists no instances.
type blockingStore struct{}

func (blockingStore) List(ctx context.Context) (catalog.State, error) {
	<-ctx.Done()
	return catalog.State{}, ctx.Err()
}

func (blockingStore) Instances(context.Context) ([]catalog.Instance, error) { return nil, nil }

func (blockingStore) Watch(ctx context.Context, _ uint64, _ time.Duration, _ func()) (catalog.State, error) {
	<-ctx.Done()
	return catalog.State{}, ctx.Err()
}

// Guards against a reload that applies invalid settings, and against one that does not apply valid
// settings.
func TestReloadKeepsTheLastGoodSettings(t *testing.T) {
	text := regexp.MustCompile(`127\.0\.0\.1:80\d\d`).ReplaceAllString(Example(), "127.0.0.1:0")
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(strings.Replace(text, "seeds: []", `seeds: ["127.0.0.1:1"]`, 1))
	s, err := LoadSettings(path)
	require.NoError(t, err)
	d, err := New(s, Platform{Store: blockingStore{}}, zap.NewNop())
	require.NoError(t, err)
	defer d.closeListeners()
	require.Equal(t, []string{"127.0.0.1:1"}, *d.seeds.Load())
	write(strings.Replace(text, "seeds: []", `seeds: ["127.0.0.1:2"]`, 1))
	reload(d, path)
	require.Equal(t, []string{"127.0.0.1:2"}, *d.seeds.Load())
	write("instance: [")
	reload(d, path)
	require.Equal(t, []string{"127.0.0.1:2"}, *d.seeds.Load())
}

// Guards against example settings that are invalid or differ from the defaults, and against errors
// that don't name the setting and the remedy.
func TestSettings(t *testing.T) {
	s, err := ParseSettings("example", []byte(Example()))
	require.NoError(t, err)
	defaults := DefaultSettings()
	require.Equal(t, defaults.Bounds, s.Bounds)
	require.Equal(t, defaults.Limits, s.Limits)
	for name, test := range map[string]struct{ old, new, want string }{
		"unknown key":     {"log_level", "loglevel", `unknown field "loglevel"`},
		"missing":         {"service: shifts", "service: ''", "instance.service: value is missing; set it"},
		"bad address":     {"127.0.0.1:8080", "localhost", `listen.caller_address: value "localhost": value has the wrong form; use IP:PORT`},
		"own data centre": {"klang-a: klang", "klang-a: other", "data_centres: value \"klang-a\""},
		"ratio":           {"retry_ratio: 0.1", "retry_ratio: -1", "bounds.retry_ratio"},
		"grace":           {"grace: 10s", "grace: 0s", "a duration is not positive"},
		"no number":       {"retry_ratio: 0.1", "retry_ratio: .nan", "bounds.retry_ratio"},
		"cold ratio":      {"cold_ratio: 0", "cold_ratio: -1", "bounds.cold_ratio"},
		"cold allowance":  {"cold_allowance: 0", "cold_allowance: .nan", "bounds.cold_allowance"},
		"endless":         {"retry_allowance: 20", "retry_allowance: .inf", "bounds.retry_allowance"},
		"negative memory": {"memory_mb: 0", "memory_mb: -1", "limits.memory_mb"},
		"absurd memory":   {"memory_mb: 0", "memory_mb: 4611686018427387904", "limits.memory_mb"},
		"nested":          {"seeds: []", "seeds: " + strings.Repeat("[", 10_000), "mangoshed mesh example"},
	} {
		_, err := ParseSettings("example", []byte(strings.Replace(Example(), test.old, test.new, 1)))
		require.ErrorContains(t, err, test.want, name)
	}
	_, err = LoadSettings("absent.yaml")
	require.ErrorContains(t, err, "absent.yaml: file cannot be read")
}
