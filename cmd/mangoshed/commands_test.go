package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/pkg/settings"
)

// Guards against an example that the program rejects, overrides that are lost on the way
// to the daemon, and errors that exit with 0.
func TestCommands(t *testing.T) {
	var started []*settings.Settings
	real := runDaemon
	runDaemon = func(_ context.Context, s *settings.Settings) error {
		started = append(started, s)
		return nil
	}
	t.Cleanup(func() { runDaemon = real })
	call := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := newCommand()
		cmd.Writer, cmd.ErrWriter = &out, &out
		err := cmd.Run(t.Context(), append([]string{"mangoshed"}, args...))
		return out.String(), err
	}
	example, err := call("settings", "example")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, []byte(example), 0o600))
	_, err = call("settings", "check", file)
	require.NoError(t, err)
	t.Setenv("MANGOSHED_UPSTREAM_SLOTS", "11")
	_, err = call("run", "--settings", file, "--set", "log_level=debug")
	require.NoError(t, err)
	t.Setenv(settings.EnvFile, file)
	_, err = call("run")
	require.NoError(t, err)
	require.Len(t, started, 2)
	require.Equal(t, 11, started[0].Upstream.Slots)
	require.Equal(t, "debug", started[0].LogLevel)

	for _, args := range [][]string{
		{"settings", "check", file, "--set", "upstream.slots=0"},
		{"settings", "check"},
		{"settings", "chek"},
		{"start"},
		{"run", file},
		{"run", "--settings", "absent.yaml"},
	} {
		_, err = call(args...)
		require.Error(t, err, args)
	}
}
