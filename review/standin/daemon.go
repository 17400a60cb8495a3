package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is a process of the project beside a target.
type daemon struct {
	ip, service, zone, region string
	ports                     ports
	store                     string
	memoryMB                  int
	dir                       string
	// forwardIP is the address at which the daemon listens for other daemons; ip by default.
	forwardIP string
	// descriptors limits the open files of the process; 0 for no limit.
	descriptors int

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
}

// ports are the same on all machines.
type ports struct{ app, forward, caller, ready, control, admin, spare int }

// zones are the zones of all cases, with their regions.
var zones = [][2]string{{"amman-a", "amman"}, {"amman-b", "amman"}, {"irbid-a", "irbid"}, {"irbid-b", "irbid"}}

// settings returns the settings as deploy/settings.yaml.tmpl renders them.
func (d *daemon) settings() string {
	var b strings.Builder
	at := func(port int) string { return d.ip + ":" + strconv.Itoa(port) }
	forward := d.forwardIP
	if forward == "" {
		forward = d.ip
	}
	fmt.Fprintf(&b, "instance:\n  service: %q\n  region: %q\n  data_centre: %q\n", d.service, d.region, d.zone)
	fmt.Fprintf(&b, "listen:\n  caller_address: %q\n  forward_address: %q\n  ready_address: %q\n  seed_address: %q\n  admin_address: %q\n",
		at(d.ports.caller), forward+":"+strconv.Itoa(d.ports.forward), at(d.ports.ready), at(d.ports.control), at(d.ports.admin))
	fmt.Fprintf(&b, "upstream:\n  address: %q\nstore:\n  address: %q\ndata_centres: {", at(d.ports.app), d.store)
	for i, z := range zones {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q: %q", z[0], z[1])
	}
	fmt.Fprintf(&b, "}\nseeds: []\nlimits:\n  memory_mb: %d\n  cores: 0.32\n  link_mbps: 1000.0\n", d.memoryMB)
	b.WriteString("bounds:\n  retry_ratio: 0.2\n  retry_allowance: 64\n  retry_window: 10s\n  grace: 6s\n")
	return b.String()
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	path := filepath.Join(d.dir, d.ip+".yaml")
	if err := os.WriteFile(path, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, d.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/mangoshed", "mesh", "run")
	if d.descriptors > 0 {
		cmd = exec.Command("sh", "-c", "ulimit -n "+strconv.Itoa(d.descriptors)+" && exec target/mangoshed mesh run")
	}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOSHED_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.starts++
	ended := make(chan struct{})
	d.process, d.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ready asks the daemon as the platform does.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ip + ":" + strconv.Itoa(d.ports.ready) + "/mangoshed/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return true
		}
	}
	return false
}

// residentMB returns the anonymous memory that the process holds, in MB (2^20 bytes).
func (d *daemon) residentMB() float64 {
	d.mu.Lock()
	pid := 0
	if d.process != nil && d.process.Process != nil {
		pid = d.process.Process.Pid
	}
	d.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// freePorts returns ports that are free on all the addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var out []int
	for range 200 {
		probe, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		free := !slices.Contains(out, port)
		for _, ip := range ips {
			l, err := net.Listen("tcp4", ip+":"+strconv.Itoa(port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			out = append(out, port)
			if len(out) == n {
				return out, nil
			}
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports", n)
}
