package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/ctl"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/operator"
	"mangoshed.example/mangoshed/pkg/platform/standin"
	"mangoshed.example/mangoshed/pkg/settings"
)

const (
	// programEnv makes the test binary run as one of the programs.
	programEnv = "PROCESS_TEST_PROGRAM"
	// bound is the longest wait for a condition; it only ends tests that failed.
	bound = 60 * time.Second
	poll  = 20 * time.Millisecond
)

// TestMain runs the tests, or one of the programs in a child process.
func TestMain(m *testing.M) {
	switch os.Getenv(programEnv) {
	case "mangoshed":
		main()
	case "mangoshedctl":
		if err := ctl.New().Run(context.Background(), os.Args); err != nil {
			fmt.Fprintln(os.Stderr, "mangoshedctl:", err)
			os.Exit(1)
		}
	case "upstream":
		runUpstream(os.Args[1])
	default:
		os.Exit(m.Run())
	}
}

// program returns the command of a child process.
func program(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	// The race detector sleeps for a second at each exit by default.
	cmd.Env = append(os.Environ(), programEnv+"="+name, "GORACE=atexit_sleep_ms=0")
	// A test that ends by a panic or the time limit leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// fleet is a platform, upstreams and daemons: shifts in four data centres of two regions.
type fleet struct {
	t        *testing.T
	dir      string
	signed   bool
	platform *standin.Platform
	address  string // of the platform
	version  model.Version
	daemons  []*child
	// release lets the upstreams finish the requests to /slow.
	release chan struct{}
	// slow is the number of requests to /slow that wait for release, endless that of requests
	// to /endless.
	slow, endless atomic.Int64
	// nesting receives the instances that run a request to /nested, which calls the service
	// through its own daemon once releaseNested is closed.
	nesting       chan model.InstanceID
	releaseNested chan struct{}
}

// child is a daemon's process.
type child struct {
	model.Instance
	settings settings.Settings
	admin    *operator.Client
	cmd      *exec.Cmd
	log      *os.File
	done     chan struct{} // closed after the process ended
	mu       sync.Mutex    // guards the fields below
	starts   int
	highest  model.Version // the highest version that the running process has reported
}

var fleets atomic.Int64

// newFleet starts the daemons on loopback addresses of their own and waits until all of
// them are ready with version 1.
func newFleet(t *testing.T, signed bool) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), signed: signed, platform: standin.New(standin.Config{}), release: make(chan struct{}), nesting: make(chan model.InstanceID, 1), releaseNested: make(chan struct{})}
	f.address = f.serve("127.0.0.1:0", f.platform)
	f.ctl("keys", "authority", "--out", f.dir)
	f.ctl("keys", "service", "shifts", "--authority", f.dir, "--out", f.dir)
	if signed {
		f.ctl("keys", "sign", "--out", f.dir)
	}
	network := fmt.Sprintf("127.%d.%d.", os.Getpid()/250%250+1, (os.Getpid()%250*4+int(fleets.Add(1)))%250)
	var listed []model.Instance
	for n, place := range []string{"klang/a", "klang/a", "klang/b", "penang/a", "penang/b"} {
		d := f.newChild(n, place, fmt.Sprintf("%s%d", network, n+1))
		listed = append(listed, d.Instance)
		f.daemons = append(f.daemons, d)
	}
	f.platform.SetInstances(listed)
	f.publish()
	for _, d := range f.daemons {
		f.start(d)
	}
	f.converged(f.daemons...)
	f.watchVersions()
	return f
}

func (f *fleet) newChild(n int, place, ip string) *child {
	id := fmt.Sprintf("shifts-%d", n+1)
	f.ctl("keys", "instance", id, "--authority", f.dir, "--out", f.dir)
	region, dc, _ := strings.Cut(place, "/")
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Service: "shifts", Region: region, DataCentre: dc}
	s.Listen = settings.Listen{CallerAddress: ip + ":8080", CallerTLSAddress: ip + ":8084", ForwardAddress: ip + ":8081", ControlAddress: ip + ":8082", AdminAddress: ip + ":8083"}
	s.Upstream.Address = f.serve(ip+":9000", f.upstream(id, ip+":8084"))
	s.Platform.Address, s.Platform.Region = f.address, "klang"
	s.TLS = settings.TLS{CAFile: f.path("ca.pem"), CertFile: f.path(id + ".pem"), KeyFile: f.path(id + ".key")}
	if f.signed {
		key, err := os.ReadFile(f.path("sign.pub"))
		require.NoError(f.t, err)
		s.SigningKeys = []string{strings.TrimSpace(string(key))}
	}
	data, err := yaml.Marshal(s)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(f.path(id+".yaml"), data, 0o600))
	log, err := os.Create(f.path(id + ".log"))
	require.NoError(f.t, err)
	return &child{Instance: s.Self(), settings: s, admin: operator.NewClient(s.Listen.AdminAddress), log: log}
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

// serve answers HTTP until the end of the test and returns the bound address.
func (f *fleet) serve(address string, h http.Handler) string {
	listener, err := net.Listen("tcp", address)
	require.NoError(f.t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// upstream answers with its ID; under /slow it sends the ID in two parts, the second one
// after the release, under /endless it never answers, and under /nested it passes on the
// answer of a call of its own through its daemon at the address.
func (f *fleet) upstream(id, daemon string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, id) })
	mux.HandleFunc("/slow", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", fmt.Sprint(len(id)))
		_, _ = io.WriteString(w, id[:3])
		w.(http.Flusher).Flush()
		f.slow.Add(1)
		<-f.release
		_, _ = io.WriteString(w, id[3:])
	})
	mux.HandleFunc("/endless", func(_ http.ResponseWriter, r *http.Request) {
		f.endless.Add(1)
		<-r.Context().Done()
	})
	mux.HandleFunc("/nested", func(w http.ResponseWriter, r *http.Request) {
		f.nesting <- model.InstanceID(id)
		<-f.releaseNested
		a := f.callNested(model.InstanceID(id), daemon, r)
		if a.err != nil {
			a.status, a.body = http.StatusInternalServerError, a.err.Error()
		}
		w.WriteHeader(a.status)
		_, _ = io.WriteString(w, a.body)
	})
	return mux
}

// start runs a daemon's process; it is killed at the end of the test if it still runs.
func (f *fleet) start(d *child) {
	d.cmd, d.done = program("mangoshed", "run", "--settings", f.path(string(d.ID)+".yaml")), make(chan struct{})
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	require.NoError(f.t, d.cmd.Start())
	d.mu.Lock()
	d.highest = 0
	d.starts++
	d.mu.Unlock()
	cmd, done := d.cmd, d.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
		if f.t.Failed() {
			text, _ := os.ReadFile(d.log.Name())
			f.t.Logf("log of %s:\n%s", d.ID, text[max(0, len(text)-4000):])
		}
	})
}

func (f *fleet) signal(d *child, s syscall.Signal) { require.NoError(f.t, d.cmd.Process.Signal(s)) }

// ctl runs mangoshedctl and returns its output.
func (f *fleet) ctl(args ...string) []byte {
	cmd := program("mangoshedctl", args...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	require.NoError(f.t, err, "mangoshedctl %v: %s", args, &stderr)
	return out
}

// isInternal says whether the service records is internal in a version, so that a call
// shows which version a daemon serves.
func isInternal(v model.Version) bool { return v%2 == 0 }

// publication is what table build --format json prints of a value.
type publication struct{ Key, File string }

// build edits the row of records, builds the next version and returns its values in the
// order of publication. The version is signed if sign is set.
func (f *fleet) build(sign bool) []publication {
	f.version++
	internal := map[bool]string{false: "no", true: "yes"}[isInternal(f.version)]
	header, cells := "service,idempotent,internal,deadline_ms", ""
	for _, column := range []string{"klang/a", "klang/b", "penang/a", "penang/b", "klang", "penang"} {
		header += ",weight:" + column + ",limit_per_s:" + column
		cells += ",100,"
	}
	csv := header + "\nrecords,reads," + internal + ",2000" + cells + "\nshifts,reads,no,30000" + cells + "\n"
	require.NoError(f.t, os.WriteFile(f.path("table.csv"), []byte(csv), 0o600))
	f.ctl("table", "check", f.path("table.csv"), "--settings", f.path("shifts-1.yaml"))
	args := []string{"table", "build", f.path("table.csv"), "--version", fmt.Sprint(f.version), "--out", f.path("out"), "--format", "json"}
	if sign {
		args = append(args, "--sign", f.path("sign.key"))
	}
	var result struct{ Publish []publication }
	require.NoError(f.t, json.Unmarshal(f.ctl(args...), &result))
	return result.Publish
}

func (f *fleet) put(values []publication) {
	for _, v := range values {
		data, err := os.ReadFile(v.File)
		require.NoError(f.t, err)
		_, err = f.platform.Put(v.Key, data)
		require.NoError(f.t, err)
	}
}

// publish builds the next version and puts it into the store.
func (f *fleet) publish() { f.put(f.build(f.signed)) }

func (f *fleet) eventually(condition func() bool, what string, args ...any) {
	f.t.Helper()
	require.Eventually(f.t, condition, bound, poll, append([]any{what}, args...)...)
}

// status returns the state of a daemon, the zero Status if it does not answer.
func (f *fleet) status(d *child) operator.Status {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, _ := d.admin.Status(ctx)
	return s
}

// converged waits until the daemons are ready, have the fleet's version in force and
// serve by it.
func (f *fleet) converged(daemons ...*child) {
	f.t.Helper()
	for _, d := range daemons {
		f.eventually(func() bool { s := f.status(d); return s.Ready && s.Version == f.version && s.Members == len(f.daemons) }, "%s has not reached version %d", d.ID, f.version)
		f.serves(d)
	}
}

// serves checks by a call that the daemon serves the fleet's version.
func (f *fleet) serves(d *child) {
	f.t.Helper()
	a := call(d, http.MethodGet, "records", "/")
	require.NoError(f.t, a.err)
	require.Equal(f.t, isInternal(f.version), a.header.Get(refusal.HeaderKind) == string(refusal.InternalOnly), "%s at version %d: %v", d.ID, f.version, a.header)
}

// watchVersions checks in the background that no process reports a version below one
// that it has reported before.
func (f *fleet) watchVersions() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, d := range f.daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				d.mu.Lock()
				starts, before := d.starts, d.highest
				d.mu.Unlock()
				v := f.status(d).Version
				d.mu.Lock()
				if starts == d.starts && v > 0 {
					if v < before {
						f.t.Errorf("%s went back from version %d to %d", d.ID, before, v)
					}
					d.highest = max(d.highest, v)
				}
				d.mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(poll):
				}
			}
		})
	}
	f.t.Cleanup(func() { cancel(); group.Wait() })
}

// recorded reports whether the audit trail of a daemon names the fleet's version under
// the kind.
func (f *fleet) recorded(d *child, kind audit.Kind, v model.Version) bool {
	entries, _ := d.admin.Audit(context.Background(), 0)
	for _, e := range entries {
		if e.Kind == kind && e.Version == v {
			return true
		}
	}
	return false
}

// withRole returns the daemons that have the role.
func (f *fleet) withRole(role string) (found []*child) {
	for _, d := range f.daemons {
		if f.status(d).Role == role {
			found = append(found, d)
		}
	}
	return found
}

// metrics returns what the daemon's admin server exports.
func (f *fleet) metrics(d *child) string {
	resp, err := http.Get("http://" + d.settings.Listen.AdminAddress + "/metrics")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return string(data)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call makes one call through a daemon on a connection of its own.
func call(d *child, method, service, path string) answer {
	req, err := http.NewRequest(method, "http://"+d.settings.Listen.CallerAddress+path, http.NoBody)
	if err != nil {
		return answer{err: err}
	}
	req.Host = service
	return send(req, nil)
}

// callNested makes a call of the own service through a daemon, within the run of a request.
func (f *fleet) callNested(daemon model.InstanceID, address string, parent *http.Request) answer {
	source, err := identity.Load(identity.Files{CA: f.path("ca.pem"), Cert: f.path("shifts.pem"), Key: f.path("shifts.key")})
	if err != nil {
		return answer{err: err}
	}
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "https://"+address+"/", http.NoBody)
	if err != nil {
		return answer{err: err}
	}
	req.Host = "shifts"
	for _, name := range []string{refusal.HeaderDepth, refusal.HeaderRemaining} {
		req.Header[name] = parent.Header[name]
	}
	return send(req, source.ClientTLS(daemon, "http/1.1"))
}

// send sends a request on a connection of its own.
func send(req *http.Request, config *tls.Config) answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: config}, Timeout: bound}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// restartWith starts a daemon that has stopped with another upstream.
func (f *fleet) restartWith(d *child, upstream string) {
	d.settings.Upstream.Address = upstream
	f.restart(d)
}

// restart starts a daemon that has stopped with its present settings.
func (f *fleet) restart(d *child) {
	data, err := yaml.Marshal(d.settings)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(f.path(string(d.ID)+".yaml"), data, 0o600))
	f.start(d)
	f.converged(d)
}
