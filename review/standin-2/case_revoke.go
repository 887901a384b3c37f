//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["revoke"] = playRevoke }

// playRevoke takes the two keys of the only tenant away, one after the other.
func playRevoke(w *world, trouble bool) error {
	j := &journal{record: w.record}
	rep := &replica{store: w.store, id: "i-1", service: "app-api", version: "v1", zone: "hcm-a", journal: j, slots: 6}
	if err := rep.start("127.0.0.1"); err != nil {
		return err
	}
	cfg := plainConfiguration(1)
	cfg["tenants"] = []map[string]any{{"name": "club", "api-keys": []string{"key-of-club-1", "key-of-club-2"}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 29000, "burst": 29000}}
	w.store.put("config", "main", cfg)
	m, err := w.addFront("front-1", "127.0.0.1", "hcm-a")
	if err != nil {
		return err
	}
	if err := m.awaitReady(10 * time.Second); err != nil {
		return err
	}
	send := func(key string) response {
		return w.send(m, request{method: "POST", host: "app.example", path: "/save/1", deadline: 2500 * time.Millisecond, body: "x", headers: map[string]string{"Authorization": "Bearer " + key}})
	}
	for range 5 {
		if got := send("key-of-club-1"); got.status != 200 {
			return fmt.Errorf("status %d with a valid key", got.status)
		}
		if got := send("unknown"); got.status != 401 {
			return fmt.Errorf("status %d with an unknown key", got.status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	next := plainConfiguration(2) // one key goes
	next["tenants"] = []map[string]any{{"name": "club", "api-keys": []string{"key-of-club-2"}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 29000, "burst": 29000}}
	w.store.put("config", "main", next)
	w.record.add("acknowledged", "configuration", 2)
	withdrawn := []string{"key-of-club-1"}
	time.Sleep(1500 * time.Millisecond)
	if trouble { // the other one goes, and the tenant with it
		last := plainConfiguration(3)
		last["tenants"] = []map[string]any{}
		w.store.put("config", "main", last)
		w.record.add("acknowledged", "configuration", 3)
		withdrawn = append(withdrawn, "key-of-club-2")
	}
	time.Sleep(6 * time.Second) // more than revoke-ms
	late := map[string]string{}
	for range 5 {
		for _, key := range withdrawn {
			late[send(key).id] = "withdrawn key"
		}
		late[send("unknown").id] = "key that no configuration held"
		time.Sleep(100 * time.Millisecond)
	}
	var err2 error
	for _, e := range j.all() {
		if what, ok := late[e.id]; ok {
			err2 = errors.Join(err2, w.record.broken("request %s ran with a %s, passed on %q", e.id, what, e.key))
		}
	}
	return err2
}
