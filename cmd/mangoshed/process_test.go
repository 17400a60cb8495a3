package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/operator"
	"mangoshed.example/mangoshed/pkg/peer"
)

// Guards against versions that do not reach every daemon, bad versions that are applied
// or hold up the next one, versions that go back with the store, and strangers who are
// admitted. The steps share one fleet with signatures.
func TestVersions(t *testing.T) {
	t.Parallel()
	f := newFleet(t, true)

	t.Run("edited row", func(t *testing.T) {
		f.publish()
		f.converged(f.daemons...)
		args := []string{"status", "--format", "json"}
		for _, d := range f.daemons {
			args = append(args, "--address", d.settings.Listen.AdminAddress)
		}
		var answers []struct{ Answer operator.Status }
		require.NoError(t, json.Unmarshal(f.ctl(args...), &answers))
		require.Len(t, answers, len(f.daemons))
		for _, a := range answers {
			require.Equal(t, f.version, a.Answer.Version)
			require.Equal(t, answers[0].Answer.Digest, a.Answer.Digest)
		}
	})

	for _, bad := range []struct {
		name    string
		publish func()
	}{
		{"unsigned", func() { f.put(f.build(false)) }},
		{"contents", func() {
			values := f.build(true)
			damage(t, values)
			f.put(values)
		}},
		{"segment", func() {
			values := f.build(true)
			require.NoError(t, os.WriteFile(values[0].File, []byte("not a segment"), 0o600))
			f.put(values)
		}},
	} {
		t.Run("bad version: "+bad.name, func(t *testing.T) {
			good := f.version
			bad.publish()
			readers := f.withRole("reader")
			require.Len(t, readers, 3)
			for _, d := range readers {
				f.eventually(func() bool { return f.recorded(d, audit.Rejected, f.version) }, "%s has not rejected version %d", d.ID, f.version)
			}
			for _, d := range f.daemons {
				require.Equal(t, good, f.status(d).Version, d.ID)
			}
			f.publish()
			f.converged(f.daemons...)
		})
	}

	t.Run("outage and restored backup", func(t *testing.T) {
		backup := f.platform.Revision()
		f.publish()
		f.converged(f.daemons...)
		f.platform.SetOutage(true)
		for _, d := range f.daemons {
			f.serves(d)
		}
		require.NoError(t, f.platform.Rollback(backup))
		f.platform.SetOutage(false)
		for _, d := range f.withRole("reader") {
			f.eventually(func() bool { return f.recorded(d, audit.Stale, f.version-1) }, "%s has not reported the restored store", d.ID)
		}
		for _, d := range f.daemons {
			s := f.status(d)
			require.True(t, s.Ready)
			require.Equal(t, f.version, s.Version, d.ID)
			f.serves(d)
		}
		f.publish()
		f.converged(f.daemons...)
	})

	t.Run("foreign authority", func(t *testing.T) {
		d := f.daemons[0]
		authority, _, err := identity.NewAuthority("foreign", time.Now())
		require.NoError(t, err)
		pair, err := authority.Issue(identity.Peer{Instance: "shifts-2"}, time.Now(), time.Hour)
		require.NoError(t, err)
		// The stranger trusts the fleet, so that only the daemon refuses.
		ca, err := os.ReadFile(f.path("ca.pem"))
		require.NoError(t, err)
		source, err := identity.FromPEM(ca, pair.Cert, pair.Key)
		require.NoError(t, err)
		transport, err := peer.New(peer.Config{Self: model.Instance{ID: "shifts-2"}, Listen: "127.0.0.1:0", Identity: source})
		require.NoError(t, err)
		defer transport.Shutdown(t.Context())
		down := make(stranger, 1)
		require.NoError(t, transport.Start(down))
		transport.Dial(d.Instance)
		require.Error(t, <-down)
		f.eventually(func() bool {
			return strings.Contains(f.metrics(d), `mangoshed_refused_peers_total{reason="certificate"} 1`)
		}, "the refusal is not counted")
	})

	t.Run("alerts", func(t *testing.T) { checkAlerts(t, f) })
}

// checkAlerts guards against alerts on metrics that no daemon has, and against alerts that
// the operations page does not explain.
func checkAlerts(t *testing.T, f *fleet) {
	exported := map[string]bool{}
	for _, d := range f.daemons {
		for line := range strings.Lines(f.metrics(d)) {
			if fields := strings.Fields(line); len(fields) == 4 && fields[1] == "TYPE" {
				exported[fields[2]] = true
				if fields[3] == "histogram" {
					exported[fields[2]+"_bucket"], exported[fields[2]+"_count"] = true, true
				}
			}
		}
	}
	data, err := os.ReadFile("../../contrib/prometheus-alerts.yaml")
	require.NoError(t, err)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	var file struct {
		Groups []struct {
			Rules []struct{ Alert, Expr string }
		}
	}
	require.NoError(t, yaml.Unmarshal(data, &file))
	metric := regexp.MustCompile(`mangoshed_\w+`)
	for _, group := range file.Groups {
		require.NotEmpty(t, group.Rules)
		for _, rule := range group.Rules {
			require.Contains(t, string(page), "`"+rule.Alert+"`")
			for _, name := range metric.FindAllString(rule.Expr, -1) {
				require.Contains(t, exported, name, rule.Alert)
			}
		}
	}
}

// damage replaces the contents of the first segment by bytes that are no table, and
// names them in the manifest.
func damage(t *testing.T, values []publication) {
	segment, manifest := &values[0], values[len(values)-1]
	data, err := os.ReadFile(manifest.File)
	require.NoError(t, err)
	m, err := snapshot.DecodeManifest(data)
	require.NoError(t, err)
	junk := []byte("not a segment")
	m.Segments[0] = snapshot.SegmentRef{Digest: sha256.Sum256(junk), Size: uint32(len(junk))}
	segment.Key, segment.File = "segments/"+m.Segments[0].Digest.String(), manifest.File+".junk"
	require.NoError(t, os.WriteFile(segment.File, junk, 0o600))
	data, err = snapshot.EncodeManifest(m)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(manifest.File, data, 0o600))
}

// stranger receives the end of each link.
type stranger chan error

func (s stranger) LinkUp(model.InstanceID)              {}
func (s stranger) LinkDown(_ model.InstanceID, e error) { s <- e }
func (s stranger) Frame(model.InstanceID, []byte)       {}

// Guards against changes that are lost with the reader, daemons that act on an old view
// after a pause, stops that cut calls, and callers whose "Connection: close" ends the
// connection between two daemons under the calls of others.
func TestStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, false)

	t.Run("pause over a change", func(t *testing.T) {
		paused := f.daemons[4]
		f.signal(paused, syscall.SIGSTOP)
		f.publish()
		f.converged(f.daemons[:4]...)
		f.signal(paused, syscall.SIGCONT)
		f.converged(paused)
	})

	t.Run("killed readers", func(t *testing.T) {
		for _, reader := range f.withRole("reader")[:2] {
			values := f.build(false)
			f.put(values[:len(values)-1])
			f.put(values[len(values)-1:])
			f.signal(reader, syscall.SIGKILL)
			<-reader.done
			for _, d := range f.daemons {
				if d != reader {
					f.converged(d)
				}
			}
			f.start(reader)
			f.converged(reader)
		}
	})

	t.Run("graceful stop", func(t *testing.T) {
		// Both daemons of the data centre send to both upstreams, so that the one that
		// stops has calls of its own callers and calls that the other one forwarded.
		const calls = 12
		answers := make(chan answer, calls)
		for n := range calls {
			go func() {
				answers <- call(f.daemons[n%2], []string{http.MethodGet, http.MethodPost}[n/2%2], "shifts", "/slow")
			}()
		}
		f.eventually(func() bool { return f.slow.Load() == calls || len(answers) > 0 }, "not all calls run")
		if len(answers) > 0 {
			require.FailNow(t, "a call ended early", "%+v", <-answers)
		}
		leaving := f.daemons[0]
		f.signal(leaving, syscall.SIGTERM)
		f.eventually(func() bool { return f.status(leaving).State == "leaving" }, "the daemon does not leave")
		close(f.release)
		served := map[string]int{}
		for range calls {
			a := <-answers
			require.NoError(t, a.err)
			require.Equal(t, http.StatusOK, a.status, a.body)
			served[a.body]++
		}
		// Some may run in the next data centre: after a start the slots ramp up.
		require.Contains(t, served, string(leaving.ID))
		require.Contains(t, served, string(f.daemons[1].ID))
		<-leaving.done
		require.Equal(t, 0, leaving.cmd.ProcessState.ExitCode())
		for range calls {
			a := call(f.daemons[1], http.MethodPost, "shifts", "/")
			require.NoError(t, a.err)
			require.Equal(t, http.StatusOK, a.status, a.body)
			require.NotEqual(t, string(leaving.ID), a.body)
		}
	})

	// The caller must be told that its call may have run, before the process ends.
	t.Run("call that outlasts the drain", func(t *testing.T) {
		d := f.daemons[4]
		f.signal(d, syscall.SIGTERM)
		<-d.done
		d.settings.DrainTimeoutSeconds = 4
		f.restart(d)
		answers := make(chan answer, 1)
		go func() { answers <- call(d, http.MethodPost, "shifts", "/endless") }()
		f.eventually(func() bool { return f.endless.Load() == 1 }, "the call does not run")
		f.signal(d, syscall.SIGTERM)
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusBadGateway, a.status, a.body)
		require.Equal(t, refusal.MayHaveRun.String(), a.header.Get(refusal.HeaderRun))
		<-d.done
		require.Equal(t, 1, d.cmd.ProcessState.ExitCode(), "a call was not finished")
	})

	// A run that the drain waits for must be able to make the calls that it needs.
	t.Run("nested call", func(t *testing.T) {
		answers := make(chan answer, 1)
		go func() { answers <- call(f.daemons[3], http.MethodPost, "shifts", "/nested") }()
		id := <-f.nesting
		leaving := f.daemons[slices.IndexFunc(f.daemons, func(d *child) bool { return d.ID == id })]
		f.signal(leaving, syscall.SIGTERM)
		f.eventually(func() bool { return f.status(leaving).State == "leaving" }, "the daemon does not leave")
		f.eventually(func() bool { return call(leaving, http.MethodGet, "shifts", "/").err != nil }, "the daemon takes calls")
		close(f.releaseNested)
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.NotEqual(t, string(id), a.body)
		<-leaving.done
		require.Equal(t, 0, leaving.cmd.ProcessState.ExitCode())
	})
}

// runUpstream is an upstream in a process of its own. It writes the path of each request
// to standard output and never answers.
func runUpstream(address string) {
	err := http.ListenAndServe(address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = os.Stdout.WriteString(r.URL.Path + "\n")
		<-r.Context().Done()
	}))
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// Guards against calls that are cut or get an untyped answer when an upstream's process
// dies, and against refusals that wrongly say not-run.
func TestKilledUpstream(t *testing.T) {
	t.Parallel()
	f := newFleet(t, false)
	d := f.daemons[2] // alone in its data centre
	upstream := program("upstream", strings.Replace(d.settings.Upstream.Address, ":9000", ":9001", 1))
	output, err := upstream.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, upstream.Start())
	t.Cleanup(func() { _, _ = upstream.Process.Kill(), upstream.Wait() })
	f.signal(d, syscall.SIGTERM)
	<-d.done
	require.Equal(t, 0, d.cmd.ProcessState.ExitCode())
	f.restartWith(d, upstream.Args[1])

	const calls = 6
	var group sync.WaitGroup
	answers := make([]answer, 3*calls)
	for n := range calls {
		group.Go(func() { answers[n] = call(d, http.MethodPost, "shifts", fmt.Sprintf("/%d", n)) })
	}
	var mu sync.Mutex
	ran, logged := map[string]bool{}, make(chan struct{})
	go func() {
		defer close(logged)
		for lines := bufio.NewScanner(output); lines.Scan(); {
			mu.Lock()
			ran[lines.Text()] = true
			mu.Unlock()
		}
	}()
	f.eventually(func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(ran) > 0
	}, "no call runs")
	require.NoError(t, upstream.Process.Kill())
	for n := calls; n < len(answers); n++ {
		answers[n] = call(d, []string{http.MethodPost, http.MethodGet}[n%2], "shifts", fmt.Sprintf("/%d", n))
	}
	group.Wait()
	<-logged
	for n, a := range answers {
		require.NoError(t, a.err)
		if a.status == http.StatusOK {
			require.False(t, ran[fmt.Sprintf("/%d", n)], "call %d ran twice", n)
			continue
		}
		require.NotEmpty(t, a.header.Get(refusal.HeaderKind), "call %d: status %d without a refusal", n, a.status)
		if a.header.Get(refusal.HeaderRun) == refusal.NotRun.String() {
			require.False(t, ran[fmt.Sprintf("/%d", n)], "call %d ran, and its refusal says not-run", n)
		}
	}
}
