package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/daemon"
	"mangoshed.example/mangoshed/pkg/identity"
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
	keys := "signing_keys=AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=,AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
	_, err = call("settings", "check", file, "--set", keys)
	require.NoError(t, err)
	_, err = call("run", "--settings", file, "--set", "log_level=debug", "--set", keys)
	require.NoError(t, err)
	t.Setenv(settings.EnvFile, file)
	_, err = call("run")
	require.NoError(t, err)
	require.Len(t, started, 2)
	require.Equal(t, 11, started[0].Upstream.Slots)
	require.Equal(t, "debug", started[0].LogLevel)
	require.Len(t, started[0].SigningKeys, 2)

	t.Setenv(settings.EnvFile, "")
	for _, test := range []struct {
		args string
		want string
	}{
		{"settings check " + file + " --set upstream.slots=0", "use a whole number from 1 to 10000"},
		{"settings check", "use mangoshed settings check FILE"},
		{"settings chek", "see mangoshed settings --help"},
		{"start", `no command "start"; see mangoshed --help`},
		{"run " + file, "name the file with --settings"},
		{"run --settings absent.yaml", "check the path"},
		{"run --setings x", "flag provided but not defined: -setings; see mangoshed run --help"},
		{"run", "name a file with --settings or MANGOSHED_SETTINGS"},
	} {
		_, err = call(strings.Fields(test.args)...)
		require.ErrorContains(t, err, test.want, test.args)
	}
}

// Guards against a daemon that starts with a certificate that every peer refuses, and
// against errors that do not name the key to correct.
func TestRefusedStart(t *testing.T) {
	dir := t.TempDir()
	authority, pair, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	s, err := settings.Load(write("settings.yaml", []byte(settings.Example())), nil)
	require.NoError(t, err)
	s.TLS.CAFile = write("ca.pem", pair.Cert)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	s.Listen.CallerAddress = taken.Addr().String()
	for _, test := range []struct {
		id   model.InstanceID
		life time.Duration
		want string
	}{
		{"shifts-2", time.Hour, "it names instance/shifts-2 in place of instance.id; run mangoshedctl keys instance shifts-1"},
		{"shifts-1", -time.Hour, "it expired at"},
		{"shifts-1", time.Hour, "listen.caller_address " + s.Listen.CallerAddress},
	} {
		leaf, err := authority.Issue(identity.Peer{Instance: test.id}, time.Now(), test.life)
		require.NoError(t, err)
		s.TLS.CertFile, s.TLS.KeyFile = write("cert.pem", leaf.Cert), write("cert.key", leaf.Key)
		require.ErrorContains(t, daemon.Run(t.Context(), s), test.want)
	}
}
