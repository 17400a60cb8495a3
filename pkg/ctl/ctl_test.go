package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/settings"
)

// runCommand runs mangoshedctl and returns what it prints.
func runCommand(t *testing.T, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := New()
	cmd.Writer, cmd.ErrWriter = &out, &out
	err := cmd.Run(t.Context(), append([]string{"mangoshedctl"}, args...))
	return out.String(), err
}

// Guards against shipped examples that the programs reject.
func TestExamples(t *testing.T) {
	for name, want := range map[string]struct {
		connections int
		services    []string
	}{
		"kopi-relief": {120, []string{"records", "shifts"}},
		"haddad":      {130, []string{"files", "slots"}},
	} {
		t.Run(name, func(t *testing.T) {
			directory := filepath.Join("..", "..", "examples", name)
			file, config := filepath.Join(directory, "table.csv"), filepath.Join(directory, "settings.yaml")
			out, err := runCommand(t, "table", "check", file, "--settings", config)
			require.NoError(t, err)
			require.Contains(t, out, "2 services, 4 data centres, 2 regions")
			s, err := settings.Load(config, nil)
			require.NoError(t, err)
			require.Equal(t, want.connections, s.Upstream.Connections)
			parsed, err := readTable(file)
			require.NoError(t, err)
			for i, service := range want.services {
				require.Equal(t, service, parsed.Rows[i].Service)
			}
		})
	}
}

// Guards against built files that a daemon with the printed key rejects, and against a
// publish order in which the manifest names segments that are not there yet.
func TestBuiltVersionOpens(t *testing.T) {
	directory := t.TempDir()
	table := filepath.Join("..", "..", "examples", "haddad", "table.csv")
	_, err := runCommand(t, "keys", "sign", "--out", directory)
	require.NoError(t, err)
	out, err := runCommand(t, "table", "build", table, "--version", "7", "--out", directory, "--sign", filepath.Join(directory, "sign.key"), "--format", "json")
	require.NoError(t, err)
	var result buildResult
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, snapshot.ManifestKey, result.Publish[len(result.Publish)-1].Key)

	var segments [][]byte
	for _, p := range result.Publish {
		data, err := os.ReadFile(p.File)
		require.NoError(t, err)
		require.Len(t, data, p.Bytes)
		segments = append(segments, data)
	}
	manifest, err := snapshot.DecodeManifest(segments[len(segments)-1])
	require.NoError(t, err)
	public, err := os.ReadFile(filepath.Join(directory, "sign.pub"))
	require.NoError(t, err)
	key, err := snapshot.ParsePublicKey(string(bytes.TrimSpace(public)))
	require.NoError(t, err)
	verifier, err := snapshot.NewVerifier(key)
	require.NoError(t, err)
	opened, err := snapshot.Open(manifest, segments[:len(segments)-1], verifier)
	require.NoError(t, err)
	require.Equal(t, model.Version(7), opened.Version())

	_, err = runCommand(t, "table", "build", table, "--version", "7", "--out", directory)
	require.ErrorContains(t, err, "use --version 8 or above")
	info, err := os.Stat(filepath.Join(directory, "sign.key"))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(modePrivate), info.Mode().Perm())
	_, err = runCommand(t, "keys", "sign", "--out", directory)
	require.ErrorContains(t, err, "already exists")
}

// Guards against certificates that the daemons do not accept.
func TestKeysMakeIdentities(t *testing.T) {
	directory := t.TempDir()
	_, err := runCommand(t, "keys", "authority", "--out", directory)
	require.NoError(t, err)
	for kind, want := range map[string]identity.Peer{"instance": {Instance: "shifts-1"}, "service": {Service: "portal"}} {
		name := string(want.Instance) + want.Service
		_, err = runCommand(t, "keys", kind, name, "--authority", directory, "--out", directory)
		require.NoError(t, err)
		source, err := identity.Load(identity.Files{
			CA: filepath.Join(directory, authorityCert), Cert: filepath.Join(directory, name+".pem"), Key: filepath.Join(directory, name+".key"),
		})
		require.NoError(t, err)
		require.Equal(t, want, source.Self())
	}
}

// Guards against commands that accept wrong input or exit with 0 after an error.
func TestCommandErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.csv")
	require.NoError(t, os.WriteFile(bad, []byte("service\nX\n"), 0o600))
	kopi := filepath.Join("..", "..", "examples", "kopi-relief")
	haddad := filepath.Join("..", "..", "examples", "haddad")
	for name, test := range map[string]struct {
		args []string
		want string
	}{
		"unknown command":     {[]string{"tables"}, `no command "tables"; see mangoshedctl --help`},
		"unknown subcommand":  {[]string{"table", "chek"}, `no command "chek"`},
		"no file":             {[]string{"table", "check"}, "use mangoshedctl table check FILE"},
		"absent file":         {[]string{"table", "check", "absent.csv"}, "check the path"},
		"faults":              {[]string{"table", "check", bad}, "missing column"},
		"unknown format":      {[]string{"table", "check", bad, "--format", "xml"}, "use text or json"},
		"diff of a bad table": {[]string{"table", "diff", bad, filepath.Join(haddad, "table.csv")}, "bad.csv"},
		"other deployment":    {[]string{"table", "check", filepath.Join(kopi, "table.csv"), "--settings", filepath.Join(haddad, "settings.yaml")}, "no row for the service"},
		"version 0":           {[]string{"table", "build", filepath.Join(kopi, "table.csv"), "--version", "0", "--out", t.TempDir()}, "versions start at 1"},
		"no authority":        {[]string{"keys", "instance", "a", "--authority", t.TempDir()}, "check the path"},
		"path as a name":      {[]string{"keys", "instance", "../a"}, "wrong form"},
		"service name":        {[]string{"keys", "service", "Portal"}, "not a DNS label"},
		"no days":             {[]string{"keys", "instance", "a", "--days", "0"}, "use 1 to 3650"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := runCommand(t, test.args...)
			require.ErrorContains(t, err, test.want)
		})
	}
	out, err := runCommand(t, "table", "check", bad, "--format", "json")
	require.Error(t, err)
	var result checkResult
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.NotEmpty(t, result.Errors)
	out, err = runCommand(t, "table", "diff", filepath.Join(kopi, "table.csv"), filepath.Join(haddad, "table.csv"))
	require.NoError(t, err)
	require.Contains(t, out, "added slots: ")
}
