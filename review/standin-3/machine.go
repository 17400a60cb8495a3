package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// memoryMB is the memory limit of a machine of a small deployment.
const memoryMB = 284

// machine is one sidecar machine: a target and the daemon beside it.
type machine struct {
	n                      int
	zone, service          string
	caller, ready, forward string
	admin, seed            string
	target                 string
	settings, log          string
	oneCore                bool // the daemon sees one core, as on the platform's machines
	cmd                    *exec.Cmd
	ended                  chan struct{}
}

// region returns the region of a zone.
func region(zone string) string { return strings.SplitN(zone, "-", 2)[0] }

// freePort returns a port that is free on the address.
func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// configure writes the settings of a machine, with the keys of deploy/settings.yaml.tmpl.
func (m *machine) configure(dir, storeAddress string, seeds []string) error {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(`instance:
  service: %q
  region: %q
  data_centre: %q
listen:
  caller_address: %q
  forward_address: %q
  ready_address: %q
  seed_address: %q
  admin_address: %q
upstream:
  address: %q
store:
  address: %q
data_centres: {"amman-a":"amman","irbid-a":"irbid","amman-b":"amman","irbid-b":"irbid"}
seeds: [%s]
limits:
  memory_mb: %d
  cores: 0.32
  link_mbps: 1000.0
placement:
  stay_share: 0.8
bounds:
  retry_ratio: 0.2
  retry_allowance: 64
  retry_window: 10s
  cold_ratio:
  cold_allowance:
  grace: 6s
`, m.service, region(m.zone), m.zone, m.caller, m.forward, m.ready, m.seed, m.admin, m.target, storeAddress, strings.Join(quoted, ","), memoryMB)
	m.settings = filepath.Join(dir, fmt.Sprintf("settings-%d.yaml", m.n))
	m.log = filepath.Join(dir, fmt.Sprintf("daemon-%d.log", m.n))
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start runs the daemon with the command of the deploy file.
func (m *machine) start(program string) error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "mesh", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOSHED_CONFIG=" + m.settings}
	if m.oneCore {
		cmd.Env = append(cmd.Env, "GOMAXPROCS=1")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) { _ = cmd.Wait(); close(ended) }(m.ended)
	return nil
}

// entry returns what the target says of itself in the store.
func (m *machine) entry(slots int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining":"0ms","sequence":1,"born":%d}`,
		m.service, m.target, m.zone, slots, time.Now().UnixMilli())
}

// kill ends the daemon if it still runs.
func (m *machine) kill() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
		<-m.ended
	}
}

// awaitReady waits until the daemon says that it is ready.
func (m *machine) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.ready + "/mangoshed/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
