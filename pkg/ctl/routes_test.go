package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/pkg/mesh"
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

// Guards against a table that goes out with a misspelt region, which takes its route out of service, and
// against a warning where the program cannot know the regions.
func TestRoutesWithRegions(t *testing.T) {
	directory := t.TempDir()
	table, settings := filepath.Join(directory, "routes.csv"), filepath.Join(directory, "settings.yaml")
	require.NoError(t, os.WriteFile(settings, []byte(mesh.Example()), 0o600))
	rows := "route,host,prefix,kind,timeout_ms,goal_ms,priority,max_attempts,services,regions\n" +
		"a,h,/a/,safe,1200,300,1,2,s:1,klang\nb,h,/b/,safe,1200,300,1,2,s:1,klagn\nc,h,/c/,safe,1200,300,1,2,s:1,klang borneo\nd,h,/d/,safe,1200,300,1,2,s:1,\n"
	require.NoError(t, os.WriteFile(table, []byte(rows), 0o600))
	out, err := runRoutes("check", table)
	require.NoError(t, err)
	require.NotContains(t, out, "warning")
	out, err = runRoutes("check", "--settings", settings, table)
	require.NoError(t, err)
	require.NotContains(t, out, "route a")
	require.Contains(t, out, "route b: no data centre is in the regions [klagn], so that every request is refused")
	require.Contains(t, out, "route c: no data centre is in the regions [borneo]\n")
	require.NotContains(t, out, "route d")
	out, err = runRoutes("check", "--settings", settings, "--format", "json", table)
	require.NoError(t, err)
	require.Contains(t, out, `"warnings": [`)
	out, err = runRoutes("explain", table, "h", "/c/1")
	require.NoError(t, err)
	require.Contains(t, out, "in regions borneo, klang only")
	out, err = runRoutes("explain", table, "h", "/d/1")
	require.NoError(t, err)
	require.Contains(t, out, "in all regions")
	out, err = runRoutes("diff", writeRoutes(t, "a,h,/a/,safe,1200,300,1,2,s:1\n"), table)
	require.NoError(t, err)
	require.Contains(t, out, "changed a: regions (none) -> klang\n")
}
