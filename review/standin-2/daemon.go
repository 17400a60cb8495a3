package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are those of a machine; all machines have the same.
type ports struct{ inbound, outbound, ready, seed, admin, app int }

// freePorts returns ports that are free on the address.
func freePorts(ip string) (ports, error) {
	var p ports
	for _, port := range []*int{&p.inbound, &p.outbound, &p.ready, &p.seed, &p.admin, &p.app} {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return p, err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// machine is a machine of the deployment: its target and the daemon beside it.
type machine struct {
	ip, zone, region string
	ports            ports
	target           *target
	memoryMB         int
	descriptors      int
	grace            string

	settings, logFile string
	process           *exec.Cmd
	ended             chan struct{}
	state             *os.ProcessState
}

func (m *machine) at(port int) string { return m.ip + ":" + strconv.Itoa(port) }
func (m *machine) outbound() string   { return m.at(m.ports.outbound) }

// write writes the settings of the daemon, in the layout of deploy/settings.yaml.tmpl.
func (m *machine) write(dir, storeAddress string, zones map[string]string, seeds []string) error {
	var z []string
	for zone, region := range zones {
		z = append(z, fmt.Sprintf("%q:%q", zone, region))
	}
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, strconv.Quote(s))
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
data_centres: {%s}
seeds: [%s]
limits:
  memory_mb: %d
  cores: 0.32
  link_mbps: 1000.0
placement:
  stay_share: 0.8
bounds:
  retry_ratio: 0.2
  retry_allowance: 60
  retry_window: 10s
  cold_ratio:
  cold_allowance:
  grace: %s
`, m.target.service, m.region, m.zone, m.outbound(), m.at(m.ports.inbound), m.at(m.ports.ready), m.at(m.ports.seed), m.at(m.ports.admin),
		m.at(m.ports.app), storeAddress, strings.Join(z, ","), strings.Join(quoted, ","), m.memoryMB, m.grace)
	m.settings = filepath.Join(dir, m.ip+".yaml")
	m.logFile = filepath.Join(dir, m.ip+".log")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start(program string) error {
	log, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.process = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, m.descriptors), "sh", program, "mesh", "run")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOSHED_CONFIG=" + m.settings}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan struct{}), m.process
	m.ended = ended
	go func() {
		_ = process.Wait()
		m.state = process.ProcessState
		close(ended)
	}()
	return nil
}

// alive reports whether the daemon runs.
func (m *machine) alive() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) { _ = m.process.Process.Signal(s) }

// kill ends the daemon and waits for its end.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.ended
}

// isReady asks the readiness address.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.at(m.ports.ready) + "/mangoshed/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (m *machine) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return true
		}
	}
	return false
}

// memoryKB returns the memory of the daemon, without mapped files such as its program; 0 if it has ended.
func (m *machine) memoryKB() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, line, found := strings.Cut(string(text), "RssAnon:")
	if !found {
		return 0
	}
	kB, _ := strconv.ParseInt(strings.Fields(line)[0], 10, 64)
	return kB
}

// record writes the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func openRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
