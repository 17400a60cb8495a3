package ctl

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/operator"
)

// daemon is an operator.Daemon with a fixed state.
type daemon struct{ state operator.Status }

func (d daemon) Status() operator.Status { return d.state }

func (d daemon) Drain() {}

func (d daemon) Explain(service string) routing.Explanation {
	return routing.Explanation{Service: service, Version: 7, Instances: []routing.Candidate{
		{ID: "shifts-1", Place: "klang/a", State: "live", Weight: 2, Load: 3, Slots: 9, Fresh: true, Ramp: 1},
		{ID: "shifts-2", Place: "klang/a", State: "live", Full: true, Ramp: 0.1},
	}}
}

func (d daemon) Audit(int) []audit.Entry {
	return []audit.Entry{
		{Time: time.UnixMilli(2000), Kind: audit.Applied, Version: 7, Source: "store", Rows: []string{"changed shifts"}, Age: time.Second},
		{Time: time.UnixMilli(1000), Kind: audit.Seen, Version: 7, Source: "store"},
	}
}

func serveDaemon(t *testing.T, state operator.Status) string {
	s, err := operator.NewServer("127.0.0.1:0", daemon{state}, nil)
	require.NoError(t, err)
	ended := make(chan error)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Shutdown(context.Background())
		require.NoError(t, <-ended)
	})
	return s.Addr()
}

// Guards against commands that hide a daemon that does not answer, or the difference
// between daemons.
func TestDaemonCommands(t *testing.T) {
	digest := model.Digest{1}.String()
	a := serveDaemon(t, operator.Status{Instance: "shifts-1", State: "live", Ready: true, Version: 7, Digest: digest})
	b := serveDaemon(t, operator.Status{Instance: "shifts-2", State: "live", NotReady: "paused", Version: 7, Digest: model.Digest{2}.String()})

	out, err := runCommand(t, "status", "--address", a, "--address", b)
	require.NoError(t, err)
	require.Contains(t, out, "no: paused")
	require.Contains(t, out, "version 7 is in force with different contents; publish a higher version")

	out, err = runCommand(t, "status", "-a", a, "-a", "127.0.0.1:1", "--format", "json")
	require.ErrorContains(t, err, "1 of 2 daemons did not answer")
	var answers []answer[operator.Status]
	require.NoError(t, json.Unmarshal([]byte(out), &answers))
	require.Equal(t, digest, answers[0].Answer.Digest)
	require.Contains(t, answers[1].Error, "127.0.0.1:1")

	out, err = runCommand(t, "audit", "-a", a, "--max", "2")
	require.NoError(t, err)
	require.Regexp(t, `(?s)seen .*applied .*1s .*changed shifts`, out)
	out, err = runCommand(t, "audit", "-a", a, "--format", "json")
	require.NoError(t, err)
	require.Contains(t, out, `"age_seconds": 1`)
	_, err = runCommand(t, "audit", "-a", a, "--max", "-1")
	require.ErrorContains(t, err, "use 0 to show all")

	out, err = runCommand(t, "explain", "-a", a, "shifts")
	require.NoError(t, err)
	require.Regexp(t, `shifts-1 .*3.0/9 `, out)
	require.Regexp(t, `shifts-2 .*live, full .*\(estimate\) +10%`, out)
	_, err = runCommand(t, "explain", "-a", a)
	require.ErrorContains(t, err, "has 0 arguments in place of 1; use mangoshedctl explain SERVICE")
	_, err = runCommand(t, "status")
	require.ErrorContains(t, err, `required flag "address" not set; see mangoshedctl status --help`)
}
