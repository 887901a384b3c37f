package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const poison = `{"job":"mesh","nodes":-1}`

func init() { cases["crashing-request"] = crashingRequest }

// crashingRequest plays a request that crashes each replica that begins to run it. It
// comes again every 2.5 s at any machine, with the same path, caller and body.
func crashingRequest(c *cluster, trouble bool) (int, error) {
	d, err := deploy(c, func(r *replica) {
		if r.service == "desk" {
			r.crash = func(_ *http.Request, b []byte) bool { return trouble && string(b) == poison }
		}
	})
	if err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	statuses := map[int]int{}
	var clients []*client
	for range d.entries {
		clients = append(clients, newClient(c.rec))
	}
	lost := 0
	go every(38*time.Millisecond, stop, func(n int) { // sound requests, each with a body of its own: 26 a second
		i := n % len(d.entries)
		a := clients[i].send(d.entries[i], "POST", "h.example", "/submit/j", fmt.Sprintf(`{"job":"mesh","nodes":%d}`, n), 2*time.Second, nil)
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
		if a.status != 200 && d.runs.has(a.id) {
			lost++
		}
	})
	time.Sleep(2 * time.Second)
	go every(2500*time.Millisecond, stop, func(n int) {
		i := n % len(d.entries)
		clients[i].send(d.entries[i], "POST", "h.example", "/submit/j", poison, 2*time.Second, nil)
	})
	time.Sleep(22 * time.Second)
	close(stop)
	time.Sleep(2500 * time.Millisecond)
	var crashed []run
	late := 0
	for _, r := range d.runs.list() {
		if r.body != poison || !r.crashed {
			continue
		}
		crashed = append(crashed, r)
		if len(crashed) > 3 && r.at.After(crashed[2].at.Add(stable)) {
			late++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	c.rec.result("the request crashed a replica %d times; retries that reached a replica later than stable-ms after the third: %d (the rule allows 3)", len(crashed), late)
	c.rec.result("sound requests by status (0: the connection ended): %v; %d of them had begun to run and were lost in a crash", statuses, lost)
	if late > 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
