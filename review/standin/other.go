package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["other-service"] = otherService }

const recoverTime = 12 * time.Second // recover-s

// otherService plays a final fault, after which another writer has written, for each
// address of a replica, an entry of a service that the configuration doesn't name.
func otherService(c *cluster, trouble bool) (int, error) {
	d, err := deploy(c, func(*replica) {})
	if err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	type sent struct {
		at     time.Time
		status int
	}
	var all []sent
	var clients []*client
	for range d.entries {
		clients = append(clients, newClient(c.rec))
	}
	go every(50*time.Millisecond, stop, func(n int) {
		i, at := n%len(d.entries), time.Now()
		a := clients[i].send(d.entries[i], "POST", "h.example", "/submit/j", fmt.Sprintf(`{"job":"mesh","nodes":%d}`, n), 2*time.Second, nil)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, sent{at, a.status})
	})
	share := func(from, to time.Time) (served, asked int) {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range all {
			if s.at.Before(from) || s.at.After(to) {
				continue
			}
			asked++
			if s.status == 200 {
				served++
			}
		}
		return served, asked
	}
	begin := time.Now()
	time.Sleep(10 * time.Second)
	fault := time.Now()
	c.rec.note("final fault: all processes are killed")
	for _, p := range c.all() {
		_ = p.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	if trouble {
		for i, r := range append(append([]*replica(nil), d.engines...), d.desks...) {
			go watchedBy(c.store, fmt.Sprintf("x-%04d", i), r, stop)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range c.all() {
		if err := c.run(p); err != nil {
			return exitNotRun, err
		}
	}
	back := time.Now()
	c.rec.note("the machines are back")
	time.Sleep(recoverTime + 20*time.Second)
	end := time.Now()
	close(stop)
	time.Sleep(2500 * time.Millisecond)
	servedBefore, askedBefore := share(begin, fault.Add(-2*time.Second))
	served, asked := share(back.Add(recoverTime), end)
	c.rec.result("served before the final fault: %d of %d; sent later than recover-s after the machines were back: %d of %d (a quarter is the least)", servedBefore, askedBefore, served, asked)
	if 4*servedBefore >= askedBefore && 4*served < asked {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// watchedBy plays a monitor that registers what it watches: it writes an entry for the
// address of a replica, once in each heartbeat interval.
func watchedBy(s *store, name string, r *replica, stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		s.put("servers", name, map[string]any{
			"service": "gauge", "address": r.addr, "zone": r.zone, "version": 1, "slots": 4,
			"state": "ready", "cold-left-ms": 0, "seq": seq, "born": born,
		})
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}
