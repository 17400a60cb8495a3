package mesh

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// Guards against a log volume that grows with the load, and against suppressing lines without
// reporting their number.
func TestDecisionLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, err := telemetry.NewLogger(&out, "info")
		require.NoError(t, err)
		d := newRequestLog(log, 40)
		refused := &refusal.Refusal{Kind: refusal.Overloaded, Run: refusal.NotRun}
		for range 10 * 1000 {
			d.logRejection("id", "host", "/path", refused)
			time.Sleep(time.Millisecond)
		}
		lines := strings.Count(out.String(), "\n")
		require.LessOrEqual(t, lines, 40*10+80)
		require.Greater(t, lines, 40*10)
		require.Contains(t, out.String(), "suppressed=")
	})
}

// Guards against lines about successful requests that use up the limit for lines about failures, and
// against a failure that is logged without the request ID, the cause and the state that led to it.
func TestFailuresAreLoggedBesideServedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, err := telemetry.NewLogger(&out, "info")
		require.NoError(t, err)
		d := newRequestLog(log, 40)
		req := &request{
			id: "r-1", route: &route.Route{Name: "view", Timeout: time.Second}, service: "shifts", version: 7, arrived: time.Now(),
			deadline: time.Now().Add(time.Second), refusals: 3,
		}
		for range 1000 {
			d.logOutcome(req, "200", &Result{Response: &exchange.Response{Status: 200}})
		}
		d.logOutcome(req, "overloaded", &Result{Refusal: &refusal.Refusal{
			Kind: refusal.Overloaded, Run: refusal.NotRun, Remedy: "come back", RetryAfter: time.Second,
		}})
		text := out.String()
		last := text[strings.LastIndex(strings.TrimSuffix(text, "\n"), "\n")+1:]
		for _, part := range []string{"request=r-1", "outcome=overloaded", "route=view", "version=7", "service=shifts", "refusals=3", "run=not-run", "suppressed="} {
			require.Contains(t, last, part)
		}
	})
}
