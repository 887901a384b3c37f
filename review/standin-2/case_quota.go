//go:build review

package main

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"
)

func init() { cases["quota"] = playQuota }

// The quota of the tenant and the rule's bounds, as in the site mbtt-gia-grown.
const (
	quotaRate   = 29000.0
	quotaBurst  = 29000.0
	quotaOver   = 0.1
	quotaSlack  = 110000.0
	quotaWindow = 8 * time.Second
	plainTokens = 200
)

// playQuota has one tenant send four times its quota through three entries, after all
// machines were killed at once and the machines beside the engines have not come back.
func playQuota(w *world, trouble bool) error {
	j := &journal{record: w.record}
	specs := []modelSpec{{"m0", 72700, 66}}
	cfg := modelsConfiguration(specs, 75000, 16)
	routes, services := cfg["routes"].([]map[string]any), cfg["services"].([]map[string]any)
	plain := plainConfiguration(1)
	cfg["routes"] = append(routes, plain["routes"].([]map[string]any)...)
	cfg["services"] = append(services, plain["services"].([]map[string]any)...)
	cfg["tenants"] = []map[string]any{{"name": "club", "api-keys": []string{"key-of-club"}, "priority": 1, "unit": "tokens", "plain-tokens": plainTokens, "rate-per-s": quotaRate, "burst": quotaBurst}}
	w.store.put("config", "main", cfg)
	var sides, fronts []*machine
	for i := range 3 {
		zone := []string{"hcm-a", "hcm-b", "hcm-c"}[i]
		ip := fmt.Sprintf("127.0.0.%d", 10+i)
		e := &engine{store: w.store, id: fmt.Sprintf("i-engine-%d", i), service: "llm-pool", zone: zone, journal: j, slots: 64, weightsMB: 75000, adapterSlots: 16, specs: specs}
		if err := e.start(ip, "m0"); err != nil {
			return err
		}
		m, err := w.addSide(fmt.Sprintf("side-%d", i), ip, zone, e.addr, "llm-pool")
		if err != nil {
			return err
		}
		sides = append(sides, m)
		rep := &replica{store: w.store, id: fmt.Sprintf("i-%d", i), service: "app-api", version: "v1", zone: zone, journal: j, slots: 64}
		if err := rep.start("127.0.0.1"); err != nil {
			return err
		}
	}
	for i := range 3 {
		m, err := w.addFront(fmt.Sprintf("front-%d", i), fmt.Sprintf("127.0.0.%d", 20+i), []string{"hcm-a", "hcm-b", "hcm-c"}[i])
		if err != nil {
			return err
		}
		fronts = append(fronts, m)
	}
	ready := func() error {
		for _, m := range fronts {
			if err := m.awaitReady(10 * time.Second); err != nil {
				return err
			}
		}
		return nil
	}
	if err := ready(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, m := range append(append([]*machine(nil), sides...), fronts...) {
			w.kill(m)
		}
		time.Sleep(time.Second)
		for _, m := range fronts {
			if err := w.start(m); err != nil {
				return err
			}
		}
		if err := ready(); err != nil {
			return err
		}
	}
	time.Sleep(11 * time.Second)
	w.record.add("load", "tenant", "club")
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	statuses := map[int]int{}
	end := time.Now().Add(20 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := w.send(fronts[n%3], request{method: "POST", host: "app.example", path: "/save/1", deadline: 2500 * time.Millisecond, body: "x", headers: map[string]string{"Authorization": "Bearer key-of-club"}})
			mu.Lock()
			defer mu.Unlock()
			sentAt[got.id] = got.sentAt
			statuses[got.status]++
		}()
		time.Sleep(time.Second / 580)
	}
	wg.Wait()
	w.record.add("statuses", "count", statuses)
	return checkQuota(w.record, j.all(), sentAt)
}

// checkQuota checks the rule: requests that are both sent and run in some window.
func checkQuota(rec *record, runs []execution, sentAt map[string]time.Time) error {
	type ran struct{ sent, run time.Time }
	var all []ran
	for _, e := range runs {
		if at, ok := sentAt[e.id]; ok {
			all = append(all, ran{at, e.at})
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].sent.Before(all[b].sent) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most := 0.0
	for i := range all {
		used := 0.0
		for _, r := range all[i:] {
			if r.sent.Sub(all[i].sent) > quotaWindow {
				break
			}
			if r.run.Sub(all[i].sent) <= quotaWindow {
				used += plainTokens
			}
		}
		most = math.Max(most, used)
	}
	rec.add("quota", "most", most, "allowed", allowed)
	fmt.Printf("most in a window: %.0f tokens of %.0f\n", most, allowed)
	if most > allowed {
		return rec.broken("%.0f tokens ran in a window of %s, %.0f are allowed", most, quotaWindow, allowed)
	}
	return nil
}
