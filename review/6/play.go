package main

import (
	"sync"
	"syscall"
	"time"
)

// play lets the machines of one service stand still for 5 s and adds routes to that service later.
func play(f *fleet) (bool, error) {
	if err := f.small(20, 284, 4100); err != nil {
		return false, err
	}
	for _, m := range f.machines[18:] {
		m.target.service = "collections"
	}
	first := []route{
		{"r-advance", "/advance/", "safe", "ledger", "4000ms", "1200ms", 2},
		{"r-balance", "/balance/", "safe", "collections", "1000ms", "250ms", 2},
	}
	if err := f.begin(first, []string{"ledger", "collections"}); err != nil {
		return false, err
	}
	var phase struct {
		sync.Mutex
		advance, balance *tally
	}
	next := func(name string) {
		phase.Lock()
		defer phase.Unlock()
		if phase.advance != nil {
			f.rec.line("until here, /advance/ (ledger): %v; /balance/ (collections): %v", phase.advance, phase.balance)
		}
		phase.advance, phase.balance = &tally{}, &tally{}
		f.rec.line("%s", name)
	}
	next("calm")
	c := newCaller(f)
	var streams []stream
	callers := f.of("ledger")
	for _, m := range callers {
		streams = append(streams, c.load(m, 9, "/advance/x", 8*time.Second, func(a answer) {
			phase.Lock()
			t := phase.advance
			phase.Unlock()
			t.add(a)
		}), c.load(m, 4, "/balance/x", time.Second, func(a answer) {
			phase.Lock()
			t := phase.balance
			phase.Unlock()
			t.add(a)
		}))
	}
	time.Sleep(4 * time.Second)
	if f.trouble {
		next("the machines of collections stand still for 5 s")
		for _, m := range f.of("collections") {
			m.still(true)
		}
		time.Sleep(5 * time.Second)
		for _, m := range f.of("collections") {
			m.still(false)
		}
	}
	next("the machines go on")
	time.Sleep(8 * time.Second)
	for _, m := range f.of("collections") {
		f.rec.line("the store lists %s: %v; its daemon is ready: %v", m.target.id, f.store.has("servers/"+m.target.id), m.isReady())
	}
	next("a configuration adds the route /export/ to collections")
	f.configure(append(first, route{"r-export", "/export/", "safe", "collections", "1000ms", "250ms", 2}), []string{"ledger", "collections"}, "15000ms")
	time.Sleep(4 * time.Second)
	next("steady state")
	var later tally
	for _, m := range callers {
		streams = append(streams, c.load(m, 4, "/export/x", time.Second, later.add))
	}
	time.Sleep(20 * time.Second)
	for _, s := range streams {
		s.stop()
	}
	phase.Lock()
	defer phase.Unlock()
	f.rec.line("steady state, /advance/ (ledger): %v; /balance/ (collections): %v; added route /export/ (collections): %v", phase.advance, phase.balance, &later)
	firstShare := float64(phase.advance.served+phase.balance.served) / float64(phase.advance.sent+phase.balance.sent)
	f.rec.line("CONFIG: %d requests on the added route, of which %.3f are served; on the first routes %.3f", later.sent, later.share(), firstShare)
	return later.sent >= 20 && later.share() < firstShare/4, nil
}

// of returns the machines of a service.
func (f *fleet) of(service string) []*machine {
	var list []*machine
	for _, m := range f.machines {
		if m.target.service == service {
			list = append(list, m)
		}
	}
	return list
}

// still lets the machine stand still, or go on.
func (m *machine) still(on bool) {
	m.target.still.Store(on)
	if on {
		m.signal(syscall.SIGSTOP)
		return
	}
	m.signal(syscall.SIGCONT)
}
