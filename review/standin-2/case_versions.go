//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["versions"] = playVersions }

// The streams of the case: events and the pause between them.
const (
	streamEvents = 30
	streamPause  = 100 * time.Millisecond
	halfPeriod   = 700 * time.Millisecond // of a replica that goes down and up
)

// serveStream answers with a stream of events, from the one after Last-Event-Id on. The
// data of an event names the version that wrote it.
func serveStream(w http.ResponseWriter, r *http.Request, rep *replica) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, rep.version, rep.id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(streamPause):
		case <-r.Context().Done():
			return
		}
	}
}

// playVersions has a replica of a service of ten go down and up by turns, and come up with
// another version of its software under its id.
func playVersions(w *world, trouble bool) error {
	j := &journal{record: w.record}
	specs := []modelSpec{{"m0", 72700, 66}}
	cfg := modelsConfiguration(specs, 75000, 4)
	plain := plainConfiguration(1)
	cfg["services"] = append(cfg["services"].([]map[string]any), plain["services"].([]map[string]any)...)
	cfg["routes"] = append(cfg["routes"].([]map[string]any), map[string]any{
		"name": "feed", "host": "app.example", "path-prefix": "/feed/", "kind": "streaming", "resumable": true, "service": "app-api", "max-attempts": 3, "timeout-ms": 10000, "target-latency-ms": 1000, "gap-aim-ms": 400, "priority": 1,
	})
	w.store.put("config", "main", cfg)
	var replicas []*replica
	for i := range 10 {
		rep := &replica{store: w.store, id: fmt.Sprintf("i-%d", i), service: "app-api", version: "v1", zone: "hcm-a", journal: j, slots: 64, serve: serveStream}
		if err := rep.start("127.0.0.1"); err != nil {
			return err
		}
		replicas = append(replicas, rep)
	}
	for i := range 3 { // engines, whose entries change with their adapters
		e := &engine{store: w.store, id: fmt.Sprintf("i-engine-%d", i), service: "llm-pool", zone: "hcm-a", journal: j, slots: 64, weightsMB: 75000, adapterSlots: 4, specs: specs, coldRead: 60 * time.Millisecond, warmRead: 60 * time.Millisecond}
		ip := fmt.Sprintf("127.0.0.%d", 30+i)
		if err := e.start(ip, "m0"); err != nil {
			return err
		}
		if _, err := w.addSide(fmt.Sprintf("side-%d", i), ip, "hcm-a", e.addr, "llm-pool"); err != nil {
			return err
		}
		time.Sleep(400 * time.Millisecond) // their heartbeats are not in step
	}
	m, err := w.addFront("front-1", "127.0.0.1", "hcm-a")
	if err != nil {
		return err
	}
	if err := m.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var asks sync.WaitGroup
	done := make(chan struct{})
	asks.Add(1)
	go func() { // other callers ask the engines for some more adapters than they hold
		defer asks.Done()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			asks.Add(1)
			go func() {
				defer asks.Done()
				w.send(m, request{method: "POST", host: "app.example", path: "/ask/1", deadline: 5 * time.Second, body: "x", headers: map[string]string{
					"Borageusher-Model": fmt.Sprintf("m0/a%d", n%18+1), "Borageusher-Token-Count": "646,35", "Borageusher-Prompt-Prefix": fmt.Sprintf("5c1e07a2:155,%08x:491", n),
				}})
			}()
		}
	}()
	time.Sleep(4*time.Second + rand.N(1600*time.Millisecond)) // the moment is not in step with the watches of the entry
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed, whole := 0, 0
	stream := func() {
		defer wg.Done()
		got := w.send(m, request{method: "POST", host: "app.example", path: "/feed/1", deadline: 10 * time.Second, body: "x"})
		mu.Lock()
		defer mu.Unlock()
		if got.whole && got.status == 200 {
			whole++
		}
		if versions := versionsOf(got.body); len(versions) > 1 {
			mixed++
			w.record.add("mixed", "id", got.id, "versions", versions, "body", strconv.Quote(got.body))
		}
	}
	first := replicas[0]
	// restart has the replica come back under its id and at its address.
	restart := func(version string) error {
		next := &replica{store: w.store, id: first.id, service: first.service, version: version, zone: first.zone, addr: first.addr, journal: j, slots: first.slots, serve: serveStream}
		for range 50 { // the address may be in use for a moment
			if err = next.start(""); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		first = next
		w.record.add("up", "replica", first.id, "version", version, "error", err)
		return err
	}
	if trouble {
		w.record.add("down", "replica", first.id)
		first.crash()
		time.Sleep(halfPeriod)
		if err := restart("v2"); err != nil {
			return err
		}
	}
	up := time.Now()
	for range 100 {
		wg.Add(1)
		go stream()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Until(up.Add(halfPeriod)))
	if trouble {
		w.record.add("down", "replica", first.id)
		first.crash()
		time.Sleep(halfPeriod)
		if err := restart("v2"); err != nil {
			return err
		}
	}
	wg.Wait()
	close(done)
	asks.Wait()
	w.signal(m, syscall.SIGTERM)
	w.record.add("streams", "whole", whole, "mixed", mixed)
	fmt.Printf("streams whole: %d, with two versions: %d\n", whole, mixed)
	if mixed > 2 {
		return w.record.broken("%d streams hold events of two software versions", mixed)
	}
	if whole < 80 {
		return fmt.Errorf("only %d streams were whole", whole)
	}
	return nil
}
