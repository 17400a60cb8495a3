package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// site is a small deployment on loopback addresses.
type site struct {
	dir      string
	program  string
	store    *store
	machines []*machine
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

// add adds a machine on an address of its own.
func (s *site) add(zone, service string) *machine {
	n := len(s.machines) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%200, n)
	if s.port == 0 {
		s.port = freePort(ip)
	}
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(ip)) }
	m := &machine{n: n, zone: zone, service: service, id: fmt.Sprintf("i-%d", n), forward: fmt.Sprintf("%s:%d", ip, s.port)}
	m.caller, m.ready, m.seed, m.admin, m.target = address(), address(), address(), address(), address()
	s.machines = append(s.machines, m)
	return m
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

// configuration returns an operator's configuration with one route to a service.
func configuration(version int, service string) string {
	return fmt.Sprintf(`{"version":"%08x","base_version":"00000000","resources":[`+
		`{"resource_kind":"routes","metadata":{"name":"r-1"},"specification":{"host":"app.example","prefix":"/status/","kind":"safe","timeout":"4000ms","latency_goal":"1200ms","priority":2,"service":%q,"max_attempts":2}},`+
		`{"resource_kind":"services","metadata":{"name":%q},"specification":{"health_path":"/health","max_connections":440,"protocol":"h1","tls":false}},`+
		`{"resource_kind":"limits","metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`,
		version, service, service)
}
