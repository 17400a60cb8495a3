package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func runLoadCommand(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := New()
	cmd.Writer = &out
	err := cmd.Run(context.Background(), append([]string{"mangoshedctl", "load"}, args...))
	return out.String(), err
}

// Guards against an example that cannot be played, and against faults of a pattern without a remedy.
func TestLoad(t *testing.T) {
	example, err := runLoadCommand("example")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "pattern.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(example)
	out, err := runLoadCommand("check", path)
	require.NoError(t, err)
	require.Contains(t, out, "is valid: 5 kinds of request, 1 troubles")
	paced, err := runLoadCommand("example", "--pace")
	require.NoError(t, err)
	write(paced)
	out, err = runLoadCommand("check", path)
	require.NoError(t, err)
	require.Contains(t, out, "is valid: 3 kinds of request, 0 troubles")

	write(strings.Replace(example, "duration: 30s", "duration: 2s", 1))
	out, err = runLoadCommand("run", "--instances", "12", "--seconds", path, path)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(out, "worth "))
	require.Contains(t, out, "BOUND")
	out, err = runLoadCommand("run", "--instances", "12", "--seed", "7", "--format", "json", path)
	require.NoError(t, err)
	var results []loadResult
	require.NoError(t, json.Unmarshal([]byte(out), &results))
	require.Len(t, results, 1)
	require.Positive(t, results[0].Result.Kinds[0].Asked)

	_, err = runLoadCommand("run")
	require.ErrorContains(t, err, "no pattern is named")
	_, err = runLoadCommand("run", "--instances", "-1", path)
	require.ErrorContains(t, err, "--instances -1")
	write(strings.Replace(example, "seed: 1", "sead: 1", 1))
	_, err = runLoadCommand("check", path)
	require.ErrorContains(t, err, "mangoshedctl load example prints all keys")
	write(strings.Replace(example, "what: shed", "what: flood", 1))
	_, err = runLoadCommand("check", path)
	require.ErrorContains(t, err, "use slow, shed, fail, limit, leave or burst")
	_, err = runLoadCommand("check", filepath.Join(t.TempDir(), "none.yaml"))
	require.ErrorContains(t, err, "check the path")
}
