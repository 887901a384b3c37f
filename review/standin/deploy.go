package main

import (
	"fmt"
	"sync"
	"time"
)

const stable = 4 * time.Second // stable-ms of the settings

// runs collects what replicas ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// has reports whether a request began to run.
func (r *runs) has(id string) bool {
	for _, x := range r.list() {
		if x.id == id {
			return true
		}
	}
	return false
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// deployment is three entries, three engines with a targetd each, and three plain
// replicas, one of each in each zone.
type deployment struct {
	entries []*process
	engines []*replica
	desks   []*replica
	runs    *runs
}

func deploy(c *cluster, setup func(*replica)) (*deployment, error) {
	d := &deployment{runs: &runs{}}
	c.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "ask", "host": "h.example", "path-prefix": "/ask/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 1000,
				"gap-aim-ms": 400, "priority": 0, "service": "assistant", "max-attempts": 1, "sticky": true},
			{"name": "submit", "host": "h.example", "path-prefix": "/submit/", "kind": "unsafe", "timeout-ms": 1000, "target-latency-ms": 200,
				"priority": 2, "service": "desk", "max-attempts": 1},
			{"name": "upload", "host": "h.example", "path-prefix": "/upload/", "kind": "unsafe", "timeout-ms": 15000, "target-latency-ms": 5000,
				"priority": 2, "service": "desk", "max-attempts": 1},
		},
		"services": []map[string]any{
			{"name": "assistant", "health-path": "/healthz", "max-conns": 610, "engine": map[string]any{
				"slots": 128, "kv-capacity": 150000, "weights-mb": 36000, "adapter-slots": 17, "loads-per-s": 2.9,
				"models": []map[string]any{{"name": "m0", "weights-mb": 34300, "load-s": 2.7, "adapters": 3000, "adapter-mb": 40}}}},
			{"name": "desk", "health-path": "/healthz", "max-conns": 96},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
	})
	for i, zone := range zones {
		e := &replica{rec: c.rec, store: c.store, service: "assistant", zone: zone, name: fmt.Sprintf("engine%d", i+1), slots: 128, engine: true,
			addr: fmt.Sprintf("127.0.2.%d:0", 10+i), work: 100 * time.Millisecond, events: 10, gap: 40 * time.Millisecond, onRun: d.runs.add, down: 3 * time.Second}
		s := &replica{rec: c.rec, store: c.store, service: "desk", zone: zone, name: fmt.Sprintf("desk%d", i+1), slots: 6,
			addr: fmt.Sprintf("127.0.3.%d:0", 10+i), work: 15 * time.Millisecond, tail: 75 * time.Millisecond, onRun: d.runs.add, down: 3 * time.Second}
		for _, r := range []*replica{e, s} {
			setup(r)
			if err := r.start(); err != nil {
				return nil, err
			}
		}
		d.engines, d.desks = append(d.engines, e), append(d.desks, s)
		if _, err := c.addTargetd(e, i+1); err != nil {
			return nil, err
		}
	}
	for i := range zones {
		p, err := c.addEntry(i)
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	if err := c.awaitReady(d.entries, 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(stable + time.Second) // the machines are in touch and the peers are connected
	return d, nil
}

// every calls f in its own goroutine at a fixed interval until stop is closed.
func every(interval time.Duration, stop <-chan struct{}, f func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		go f(n)
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}
