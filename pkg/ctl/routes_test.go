package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const routesHeader = "route,host,prefix,kind,timeout_ms,goal_ms,priority,max_attempts,services\n"

func writeRoutes(t *testing.T, rows string) string {
	path := filepath.Join(t.TempDir(), "routes.csv")
	require.NoError(t, os.WriteFile(path, []byte(routesHeader+rows), 0o600))
	return path
}

func runRoutes(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := New()
	cmd.Writer = &out
	err := cmd.Run(context.Background(), append([]string{"mangoshedctl", "routes"}, args...))
	return out.String(), err
}

// Guards against commands that pass a faulty table or hide what an edit changes.
func TestRoutes(t *testing.T) {
	good := writeRoutes(t, "claim,shifts.example,/claims/,unsafe,1200,300,1,2,shifts:1\n")
	out, err := runRoutes("check", good)
	require.NoError(t, err)
	require.Contains(t, out, "is valid: 1 routes to 1 services")
	out, err = runRoutes("explain", good, "shifts.example", "/claims/7")
	require.NoError(t, err)
	require.Contains(t, out, "route claim (shifts.example/claims/): unsafe, may run once only")
	out, err = runRoutes("explain", good, "shifts.example", "/other/")
	require.NoError(t, err)
	require.Contains(t, out, "404")

	bad := writeRoutes(t, "claim,shifts.example,/claims,unsafe,1200,300,1,2,shifts:1\n")
	_, err = runRoutes("check", bad)
	require.ErrorContains(t, err, "route claim: column prefix")
	out, err = runRoutes("check", "--format", "json", bad)
	require.Error(t, err)
	require.Contains(t, out, `"valid": false`)

	changed := writeRoutes(t, "claim,shifts.example,/claims/,unsafe,1500,300,1,2,shifts:1\n")
	out, err = runRoutes("diff", good, changed)
	require.NoError(t, err)
	require.Equal(t, "changed claim: timeout_ms 1200 -> 1500\n", out)
	_, err = runRoutes("check", "absent.csv")
	require.ErrorContains(t, err, "absent.csv")
}
