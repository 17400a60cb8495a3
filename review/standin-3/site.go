package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// contact is the time after which a calm machine is in touch.
const contact = 3 * time.Second

// site is a small deployment on loopback addresses.
type site struct {
	dir      string
	program  string
	store    *store
	machines []*machine
	targets  []*target // of the machines
	record   *recorder
	port     int // forward port of all daemons
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// say writes a line with the time since the start.
func (r *recorder) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newSite starts a store. The daemons are built by the deploy file.
func newSite(record string) (*site, error) {
	program, err := filepath.Abs("target/mangoshed")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, program: program, record: &recorder{file: file, began: time.Now()}}
	s.store, err = newStore("127.0.0.1")
	return s, err
}

// add adds a machine on an address of its own, with a target of the given kind.
func (s *site) add(zone, service string, kind targetKind) {
	n := len(s.machines) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%200, n)
	if s.port == 0 {
		s.port = freePort(ip)
	}
	taken := map[int]bool{s.port: true}
	address := func() string {
		port := freePort(ip)
		for taken[port] {
			port = freePort(ip)
		}
		taken[port] = true
		return fmt.Sprintf("%s:%d", ip, port)
	}
	m := &machine{n: n, zone: zone, service: service, forward: fmt.Sprintf("%s:%d", ip, s.port)}
	m.caller, m.ready, m.seed, m.admin, m.target = address(), address(), address(), address(), address()
	s.machines = append(s.machines, m)
	s.targets = append(s.targets, &target{
		m: m, store: s.store, record: s.record, targetKind: kind, runs: make(map[string]int),
	})
}

// start starts all targets and daemons and waits until all machines are in touch. The store has a configuration.
func (s *site) start() error {
	for _, t := range s.targets {
		if err := t.start(); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := m.configure(s.dir, s.store.listener.Addr().String(), s.seeds()); err != nil {
			return err
		}
		if err := m.start(s.program); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if !m.awaitReady(10 * time.Second) {
			if log, err := os.ReadFile(m.log); err == nil {
				s.record.say("log of machine %d: %s", m.n, log)
			}
			return fmt.Errorf("the daemon of machine %d is not ready", m.n)
		}
	}
	time.Sleep(contact)
	return nil
}

// ran reports whether a target has begun to work on the request.
func (s *site) ran(id string) bool {
	for _, t := range s.targets {
		if t.ran(id) > 0 {
			return true
		}
	}
	return false
}

// seeds returns the seed addresses of three machines.
func (s *site) seeds() []string {
	var list []string
	for _, m := range s.machines[:min(3, len(s.machines))] {
		list = append(list, m.seed)
	}
	return list
}

// close ends all processes and removes the temporary files.
func (s *site) close() {
	for _, m := range s.machines {
		m.kill()
	}
	_ = s.store.listener.Close()
	_ = s.record.file.Close()
	_ = os.RemoveAll(s.dir)
}

// route is a route of safe requests to a service.
type route struct {
	name, prefix, service string
	timeout, goal         time.Duration
}

// configuration returns an operator's configuration.
func configuration(version int, routes ...route) string {
	var resources []string
	for _, r := range routes {
		resources = append(resources, fmt.Sprintf(`{"resource_kind":"routes","metadata":{"name":%q},"specification":{"host":"app.example","prefix":%q,"kind":"safe","timeout":"%dms","latency_goal":"%dms","priority":2,"service":%q,"max_attempts":2}}`,
			r.name, r.prefix, r.timeout.Milliseconds(), r.goal.Milliseconds(), r.service))
	}
	named := make(map[string]bool)
	for _, r := range routes {
		if !named[r.service] {
			resources = append(resources, fmt.Sprintf(`{"resource_kind":"services","metadata":{"name":%q},"specification":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}}`, r.service))
		}
		named[r.service] = true
	}
	resources = append(resources, `{"resource_kind":"limits","metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`)
	return fmt.Sprintf(`{"version":"%08x","base_version":"00000000","resources":[%s]}`, version, strings.Join(resources, ","))
}
