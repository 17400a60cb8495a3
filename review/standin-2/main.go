// Command play plays one case of the second review. This folder starts the daemons of a small deployment beside stand-ins for
// the platform, the targets and the callers; the function play stands in the folder of the case.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestPlay is the time after which a play is given up.
const longestPlay = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// fleet is a small deployment.
type fleet struct {
	program  string
	trouble  bool
	rec      *record
	dir      string
	store    *store
	machines []*machine
	stop     chan struct{}
	version  int
}

// route is one route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, goal               string
	priority                    int
}

// configure writes a configuration.
func (f *fleet) configure(routes []route, services []string, idle string) {
	f.version += 3
	type resource map[string]any
	var list []resource
	for _, r := range routes {
		list = append(list, resource{"resource_kind": "routes", "metadata": map[string]any{"name": r.name}, "specification": map[string]any{
			"host": "app.example", "prefix": r.prefix, "kind": r.kind, "timeout": r.timeout, "latency_goal": r.goal, "priority": r.priority,
			"service": r.service, "max_attempts": 2,
		}})
	}
	for _, s := range services {
		list = append(list, resource{"resource_kind": "services", "metadata": map[string]any{"name": s}, "specification": map[string]any{
			"health_path": "/health", "max_connections": 440, "protocol": "h1", "tls": false,
		}})
	}
	list = append(list, resource{"resource_kind": "limits", "metadata": map[string]any{}, "specification": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": idle,
	}})
	data, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", f.version), "base_version": fmt.Sprintf("%08x", f.version-3), "resources": list})
	f.store.put("op/config", data)
}

// add adds a machine with its target.
func (f *fleet) add(m *machine, service string, slots int) {
	n := len(f.machines) + 1
	m.ip = fmt.Sprintf("127.77.%d.1", n)
	m.target = &target{
		id: fmt.Sprintf("i-%08x", 0x7f3a91c0+n), service: service, address: m.at(m.ports.app), zone: m.zone, slots: slots,
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond }, answer: func(*http.Request) []byte { return []byte("the server's bytes") },
	}
	f.machines = append(f.machines, m)
}

// begin starts the store, the targets and the daemons, and waits until all are ready.
func (f *fleet) begin(routes []route, services []string) error {
	zones := map[string]string{}
	var seeds []string
	for i, m := range f.machines {
		zones[m.zone] = m.region
		if i < 3 {
			seeds = append(seeds, m.at(m.ports.seed))
		}
	}
	f.configure(routes, services, "15000ms")
	for _, m := range f.machines {
		if err := m.target.start(); err != nil {
			return err
		}
		f.store.put("servers/"+m.target.id, m.target.entry("ready"))
		if err := m.write(f.dir, f.store.address, zones, seeds); err != nil {
			return err
		}
	}
	go f.beat()
	for _, m := range f.machines {
		if err := m.start(f.program); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(10 * time.Second) {
			return fmt.Errorf("the daemon at %s is not ready", m.ip)
		}
	}
	return nil
}

// checkIn is the interval at which targets write their entries; silentIntervals of silence remove an entry.
const (
	checkIn         = 1500 * time.Millisecond
	silentIntervals = 3
)

// beat writes the entries of the targets, and removes those of targets that have been silent for too long.
func (f *fleet) beat() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	last := make(map[*machine]time.Time)
	for n, m := range f.machines {
		last[m] = time.Now().Add(-time.Duration(n) * checkIn / time.Duration(len(f.machines)))
	}
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		for _, m := range f.machines {
			key, since := "servers/"+m.target.id, time.Since(last[m])
			switch {
			case !m.target.still.Load() && since >= checkIn:
				last[m] = time.Now()
				f.store.put(key, m.target.entry("ready"))
			case since >= silentIntervals*checkIn && f.store.has(key):
				f.store.remove(key)
				f.rec.line("the entry of %s is removed", m.target.id)
			}
		}
	}
}

// recordRuns writes how many runs began at each target.
func (f *fleet) recordRuns() {
	for _, m := range f.machines {
		f.rec.line("target %s (%s) at %s began %d runs", m.target.id, m.target.service, m.ip, m.target.runs.Load())
	}
}

// end ends all that was started.
func (f *fleet) end() {
	close(f.stop)
	for _, m := range f.machines {
		m.kill()
		if m.target.server != nil {
			_ = m.target.server.Close()
		}
	}
	if f.store != nil {
		f.store.close()
	}
	_ = os.RemoveAll(f.dir)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: play PROGRAM FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(program, folder string) int {
	rec, err := openRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "play-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	f := &fleet{program: program, trouble: os.Getenv("TROUBLE") != "0", rec: rec, dir: dir, stop: make(chan struct{}), version: 9}
	defer f.end()
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ended:
		case <-time.After(longestPlay):
		}
		rec.line("the case could not run: it was ended early")
		f.end()
		os.Exit(exitFailed)
	}()
	broken, err := play(f)
	f.recordRuns()
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	case broken:
		rec.line("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// small prepares a store and so many machines in two zones.
func (f *fleet) small(n, memoryMB, descriptors int) error {
	p, err := freePorts("127.77.1.1")
	if err != nil {
		return err
	}
	s, err := freePorts("127.77.200.1")
	if err != nil {
		return err
	}
	if f.store, err = startStore(fmt.Sprintf("127.77.200.1:%d", s.app)); err != nil {
		return err
	}
	for i := range n {
		zone := []string{"colombo-a", "colombo-b"}[i%2]
		f.add(&machine{zone: zone, region: "colombo", ports: p, memoryMB: memoryMB, descriptors: descriptors, grace: "6s"}, "ledger", 18)
	}
	return nil
}
