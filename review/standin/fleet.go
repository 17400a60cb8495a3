package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// machine is a daemon with its target.
type machine struct {
	*daemon
	app *target
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	store     *store
	storeAddr string
	machines  []*machine
	ports     ports
	dir       string
	began     time.Time

	mu     sync.Mutex
	record *os.File
}

// member describes a machine of a fleet.
type member struct {
	ip, service, zone string
	work              func(*http.Request) time.Duration
	answer            func(*http.Request) int
	forwardIP         string
}

// beatInterval is the heartbeat of the small site.
const beatInterval = 870 * time.Millisecond

// memoryMB is the memory limit of the small sites' machines.
const memoryMB = 284

// newFleet builds a deployment, without starting its daemons.
func newFleet(record *os.File, members []member) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), dir: dir, began: time.Now(), record: record}
	ips := []string{"127.0.0.1"}
	for _, m := range members {
		ips = append(ips, m.ip)
		if m.forwardIP != "" {
			ips = append(ips, m.forwardIP)
		}
	}
	p, err := freePorts(ips, 7)
	if err != nil {
		return nil, err
	}
	f.ports = ports{p[0], p[1], p[2], p[3], p[4], p[5], p[6]}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: f.store}).Serve(listener) }()
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z[0]] = z[1]
	}
	for i, m := range members {
		t := &target{
			id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: m.service, zone: m.zone, address: m.ip + ":" + strconv.Itoa(f.ports.app),
			slots: 9, born: time.Now(), work: m.work, answer: m.answer,
		}
		if err := t.start(); err != nil {
			return nil, err
		}
		d := &daemon{ip: m.ip, service: m.service, zone: m.zone, region: regions[m.zone], ports: f.ports, store: f.storeAddr, memoryMB: memoryMB, dir: dir, forwardIP: m.forwardIP}
		f.machines = append(f.machines, &machine{d, t})
		go t.beat(f.store, beatInterval)
	}
	return f, nil
}

// startAll starts the daemons and waits until all are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(10 * time.Second) {
			return errors.New("a daemon did not become ready")
		}
	}
	return nil
}

// stopAll kills the daemons and removes the folder.
func (f *fleet) stopAll() {
	for _, m := range f.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// say writes a line to the record.
func (f *fleet) say(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(f.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(f.record, line)
}

// addressOf returns the address to which the consumers of a machine send.
func (f *fleet) addressOf(m *machine) string { return m.ip + ":" + strconv.Itoa(f.ports.caller) }

// find returns the runs of a request at all targets.
func (f *fleet) find(id string) []*run {
	var out []*run
	for _, m := range f.machines {
		out = append(out, m.app.find(id)...)
	}
	return out
}

// routeSpec describes a route of the configuration.
type routeSpec struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// host is the host of all routes.
const host = "ficu95.example"

// publish writes a configuration, which the store acknowledges when it returns.
func (f *fleet) publish(version int, services []string, routes []routeSpec) {
	type m = map[string]any
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }
	list := []m{}
	for _, r := range routes {
		list = append(list, m{"resource_kind": "routes", "metadata": m{"name": r.name}, "specification": m{
			"host": host, "prefix": r.prefix, "kind": r.kind, "timeout": ms(r.timeout), "latency_goal": ms(r.timeout / 3), "priority": 1, "service": r.service, "max_attempts": 2,
		}})
	}
	for _, s := range services {
		list = append(list, m{"resource_kind": "services", "metadata": m{"name": s}, "specification": m{"health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}})
	}
	list = append(list, m{"resource_kind": "limits", "metadata": m{}, "specification": m{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
	}})
	value, _ := json.Marshal(m{"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", max(0, version-2)), "resources": list})
	revision := f.store.put("op/config", value)
	f.say("the store acknowledges configuration %08x at revision %d", version, revision)
}
