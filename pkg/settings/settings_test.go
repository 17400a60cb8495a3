package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against an example that is out of date: it has every key, and the values that
// it calls default are the defaults.
func TestExampleIsComplete(t *testing.T) {
	s, err := Load(write(t, Example()), nil)
	require.NoError(t, err)
	def := Default()
	require.Equal(t, def.Limits, s.Limits)
	require.Equal(t, def.Platform.HoldSeconds, s.Platform.HoldSeconds)
	require.Equal(t, def.DrainTimeoutSeconds, s.DrainTimeoutSeconds)
	def.Upstream.Address = s.Upstream.Address
	require.Equal(t, def.Upstream, s.Upstream)
	for _, key := range knownKeys() {
		require.Contains(t, Example(), "\n"+strings.Repeat("  ", strings.Count(key, "."))+key[strings.LastIndex(key, ".")+1:]+":")
	}
	require.NoError(t, Check(s))
	require.Equal(t, "klang/a", s.Self().Place.String())
	require.Len(t, s.SeedInstances(), 1)
}

// Guards against faults that are accepted, reported without place or remedy, or that
// hide other faults.
func TestLoadReportsFaults(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(Example(), old, new, 1) }
	for name, test := range map[string]struct {
		yaml string
		env  []string
		set  []string
		want []string
	}{
		"unknown key":             {yaml: replace("slots: 9", "slotz: 9"), want: []string{"line 20: upstream.slotz: unknown key; remove it, or use upstream.slots"}},
		"key of another group":    {yaml: "hold_seconds: 3\n" + Example(), want: []string{"line 1: hold_seconds: unknown key; remove it, or use platform.hold_seconds"}},
		"unknown key of a seed":   {yaml: replace("  - id: shifts-2", "  - id: shifts-2\n    zone: b"), want: []string{"seeds[0].zone: unknown key"}},
		"duplicate key":           {yaml: replace("  slots: 9", "  slots: 9\n  slots: 8"), want: []string{"line 21: upstream.slots: duplicate key; keep one"}},
		"not YAML":                {yaml: "a: [", want: []string{"settings.yaml: line 1: not YAML: "}},
		"text as number":          {yaml: replace("slots: 9", "slots: many"), want: []string{`line 20: upstream.slots: value "many": value cannot be read as a whole number`}},
		"fraction":                {yaml: replace("slots: 9", "slots: 1.5"), want: []string{`upstream.slots: value "1.5"`}},
		"group as text":           {yaml: replace("limits:", "limits: none\nx:"), want: []string{"limits: value \"none\": a group of keys is expected", "x: unknown key"}},
		"list as text":            {yaml: replace("signing_keys: []", "signing_keys: abc"), want: []string{"signing_keys: value \"abc\": a list is expected"}},
		"out of range":            {yaml: replace("drain_timeout_seconds: 50", "drain_timeout_seconds: 0"), want: []string{`drain_timeout_seconds: value "0": number is out of range; use a whole number from 1 to 900`}},
		"fewer connections":       {yaml: replace("connections: 120", "connections: 3"), want: []string{"upstream.connections: value \"3\": number is below slots"}},
		"unreachable":             {yaml: replace("127.0.0.1:8082", "0.0.0.0:8082"), want: []string{`listen.control_address: value "0.0.0.0:8082"`}},
		"no port":                 {yaml: replace("127.0.0.1:8083", "127.0.0.1"), want: []string{"listen.admin_address: value \"127.0.0.1\": value has the wrong form; use IP:PORT"}},
		"same address":            {yaml: replace("127.0.0.1:8083", "127.0.0.1:8080"), want: []string{"listen.admin_address: value \"127.0.0.1:8080\": address is also that of listen.caller_address"}},
		"bad signing key":         {yaml: replace("signing_keys: []", "signing_keys: [abc]"), want: []string{`signing_keys[0]: value "abc"`}},
		"log level":               {yaml: replace("log_level: info", "log_level: loud"), want: []string{"use one of debug, info, warn, error"}},
		"label":                   {yaml: replace("region: klang", "region: Klang"), want: []string{"line 8: instance.region: value \"Klang\""}},
		"unknown variable":        {yaml: Example(), env: []string{"MANGOSHED_UPSTREAM_SLOT=2"}, want: []string{"MANGOSHED_UPSTREAM_SLOT: unknown variable; remove it, or use MANGOSHED_UPSTREAM_SLOTS"}},
		"bad value of a variable": {yaml: Example(), env: []string{"MANGOSHED_UPSTREAM_SLOTS=x"}, want: []string{"environment variable MANGOSHED_UPSTREAM_SLOTS: upstream.slots: value \"x\""}},
		"bad override":            {yaml: Example(), set: []string{"upstream.slot=3", "log_level"}, want: []string{"--set: upstream.slot: unknown key; remove it, or use upstream.slots", "--set: value \"log_level\": no value"}},
		"all at once": {
			yaml: strings.NewReplacer("slots: 9", "slots: x", "hold_seconds: 30", "hold_seconds: 0", "id: shifts-1 ", "# ", "log_level", "loglevel").Replace(Example()),
			want: []string{"upstream.slots", "loglevel: unknown key; remove it, or use log_level", "instance.id: value is missing", "platform.hold_seconds"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Load(write(t, test.yaml), test.env, test.set...)
			var faults *Errors
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults.List, len(test.want), "%v", err)
			for i, want := range test.want {
				require.Contains(t, faults.List[i].Error(), want)
				require.NotEmpty(t, faults.List[i].Remedy)
			}
		})
	}
	_, err := Load("absent.yaml", nil)
	require.ErrorContains(t, err, "absent.yaml: file cannot be read")
}

// Guards against overrides that are applied in the wrong order or lose their type.
func TestOverrides(t *testing.T) {
	env := []string{
		"PATH=/bin", "MANGOSHED_SETTINGS=x", "MANGOSHED_UPSTREAM_SLOTS=12", "MANGOSHED_LOG_LEVEL=warn",
		"MANGOSHED_SIGNING_KEYS=AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=, AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
		"MANGOSHED_SEEDS=[{id: a, region: b, data_centre: c, control_address: '10.0.0.1:1'}]",
	}
	s, err := Load(write(t, strings.Replace(Example(), "id: shifts-1 ", "id: 007", 1)), env, "log_level=debug")
	require.NoError(t, err)
	require.Equal(t, 12, s.Upstream.Slots)
	require.Equal(t, "debug", s.LogLevel)
	require.Equal(t, "007", s.Instance.ID)
	require.Equal(t, "a", s.Seeds[0].ID)
	verifier, err := s.Verifier()
	require.NoError(t, err)
	require.True(t, verifier.Required())
}
