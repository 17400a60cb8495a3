package main

import (
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of an entry.
const heartbeat = 870 * time.Millisecond

// play has another writer put an entry for each target of a service into the store. The entries lack fields that
// the entry of a target has. In calm, a route to the service is added later.
func play(s *site, trouble bool) (bool, error) {
	const (
		late     = "workshop"
		every    = 400 * time.Millisecond // between requests of a machine on each route
		calmFor  = 10 * time.Second       // from the first foreign entry to the configuration
		settleIn = 4 * time.Second        // from the configuration to the first judged request
	)
	for n, zone := range [...]string{"amman-a", "irbid-a", "amman-b", "irbid-b", "amman-a"} {
		if n < 3 {
			s.add(zone, late, targetKind{slots: 9, work: 880 * time.Millisecond, response: 400})
		} else {
			s.add(zone, "booking", targetKind{slots: 9, work: 220 * time.Millisecond, response: 400})
		}
	}
	first := route{"r-1", "/view/", "booking", 2500 * time.Millisecond, 600 * time.Millisecond}
	known := route{"r-2", "/cure/", late, 10 * time.Second, 2500 * time.Millisecond}
	added := route{"r-3", "/board/", late, 10 * time.Second, 2500 * time.Millisecond}
	s.store.put("op/config", configuration(7, first, known))
	if err := s.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, t := range s.targets {
		go s.store.beat("servers/"+t.id, stop)
	}
	if trouble {
		for _, m := range s.machines {
			if m.service != late {
				continue
			}
			key := fmt.Sprintf("servers/board-%d", m.n)
			value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":9,"state":"ready","cold_remaining":"0ms","born":%d}`, m.service, m.target, m.zone, time.Now().UnixMilli())
			s.record.say("another writer puts %s: %s", key, value)
			s.store.put(key, value)
			go s.store.beat(key, stop)
		}
	}
	time.Sleep(calmFor)
	s.store.put("op/config", configuration(9, first, known, added))
	time.Sleep(settleIn)
	var onFirst, onAdded served
	var all sync.WaitGroup
	began := time.Now()
	for _, m := range s.machines {
		for n, count := range [...]*served{&onFirst, &onAdded} {
			prefix := [...]string{first.prefix, added.prefix}[n]
			all.Go(func() {
				for k := 0; time.Since(began) < judgedFor; k++ {
					all.Go(func() {
						count.add(s.ask(m, fmt.Sprintf("%04x%04x%08x", m.n, n+1, k), fmt.Sprintf("%s%d-%d", prefix, m.n, k)))
					})
					time.Sleep(time.Until(began.Add(time.Duration(k+1) * every)))
				}
			})
		}
	}
	all.Wait()
	s.record.say("first route: %d of %d served; added route: %d of %d", onFirst.ok, onFirst.sent, onAdded.ok, onAdded.sent)
	return onAdded.sent >= fewest && onAdded.share() < onFirst.share()/4, nil
}

// beat writes an entry again every heartbeat, as its writer does, with the next sequence number if it has one.
func (s *store) beat(key string, stop <-chan struct{}) {
	s.mu.Lock()
	data, _ := base64.StdEncoding.DecodeString(s.items[key].Value)
	s.mu.Unlock()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for n := 2; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			s.put(key, strings.Replace(string(data), `"sequence":1,`, fmt.Sprintf(`"sequence":%d,`, n), 1))
		}
	}
}
