package main

import (
	"encoding/json"
	"net/http"
	"os"
	"time"
)

// Case "forged": another writer puts entries into the store that name a service which no
// configuration names, at the addresses of targets. Later, in calm, a configuration adds a route to
// the service of these targets.
func caseForged(record *os.File, trouble bool) (bool, error) {
	work := func(*http.Request) time.Duration { return 60 * time.Millisecond }
	f, err := newFleet(record, []member{
		{ip: "127.0.0.11", service: "workshop", zone: "amman-a", work: work},
		{ip: "127.0.0.12", service: "workshop", zone: "irbid-a", work: work},
		{ip: "127.0.0.13", service: "booking", zone: "amman-b", work: work},
		{ip: "127.0.0.14", service: "booking", zone: "irbid-b", work: work},
	})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	services := []string{"workshop", "booking"}
	first := []routeSpec{
		{"r-job", "/job/", "unsafe", "workshop", 3 * time.Second},
		{"r-view", "/view/", "safe", "booking", 2500 * time.Millisecond},
	}
	f.publish(5, services, first)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i, m := range f.machines[:2] {
			value, _ := json.Marshal(map[string]any{
				"service": "nobody", "address": m.app.address, "zone": m.zone, "version": "v1", "slots": 9, "state": "ready",
				"cold_remaining": "0ms", "sequence": 1, "born": time.Now().UnixMilli(),
			})
			f.store.put("servers/x-"+string(rune('a'+i)), value)
			f.say("another writer puts %s", value)
		}
	}
	time.Sleep(10 * time.Second)
	f.publish(9, services, append(first, routeSpec{"r-late", "/late/", "safe", "workshop", 2500 * time.Millisecond}))
	time.Sleep(4 * time.Second)
	return f.steady("/late/2f", "/view/2f", jobPath), nil
}
