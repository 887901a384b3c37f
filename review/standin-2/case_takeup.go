//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["takeup"] = playTakeUp }

// The streams of the case: as many events as those of ask-later, and the longest pause that
// the sheet allows, less a margin.
const (
	longEvents     = 10
	longPause      = 380 * time.Millisecond
	callerDeadline = 10 * time.Second
)

// lastEvent returns the id of the last whole event of a body, empty if there is none.
func lastEvent(body string) string {
	last := ""
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if rest, ok := strings.CutPrefix(event, "id: "); ok && strings.HasSuffix(event, "\n\n") {
			last, _, _ = strings.Cut(rest, "\n")
		}
	}
	return last
}

// playTakeUp replaces the last two replicas of the old version of a service, one after the
// other, and kills an entry while both still serve.
func playTakeUp(w *world, trouble bool) error {
	j := &journal{record: w.record}
	specs := []modelSpec{{"m0", 72700, 66}}
	cfg := modelsConfiguration(specs, 75000, 16)
	cfg["routes"].([]map[string]any)[0]["timeout-ms"] = 10000
	w.store.put("config", "main", cfg)
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	var engines []*engine
	addEngine := func(i int, version string, models ...string) error {
		e := &engine{
			store: w.store, id: fmt.Sprintf("i-%d", i), service: "llm-pool", zone: zones[i%3], journal: j, slots: 64, weightsMB: 75000, adapterSlots: 16, specs: specs,
			version: version, events: longEvents, pause: longPause, loadTime: 2100 * time.Millisecond, coldRead: 60 * time.Millisecond, warmRead: 60 * time.Millisecond,
		}
		ip := fmt.Sprintf("127.0.0.%d", 30+i)
		if err := e.start(ip, models...); err != nil {
			return err
		}
		if version == "v1" {
			e.adapters = []string{"m0/a1", "m0/a2"} // in demand before the others came
		}
		engines = append(engines, e)
		_, err := w.addSide(fmt.Sprintf("side-%d", i), ip, e.zone, e.addr, "llm-pool")
		return err
	}
	for i := range 17 {
		version := "v2"
		if i < 2 {
			version = "v1"
		}
		if err := addEngine(i, version, "m0"); err != nil {
			return err
		}
	}
	var fronts []*machine
	for i := range 3 {
		m, err := w.addFront(fmt.Sprintf("front-%d", i), fmt.Sprintf("127.0.0.%d", 20+i), zones[i])
		if err != nil {
			return err
		}
		fronts = append(fronts, m)
	}
	for _, m := range fronts {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second) // more than stable-ms

	var wg sync.WaitGroup
	var mu sync.Mutex
	var tookUp, wentOn, fresh, begun int
	send := func(m *machine, n int, deadline time.Duration, more map[string]string) response {
		headers := map[string]string{"Borageusher-Model": fmt.Sprintf("m0/a%d", n%2+1), "Borageusher-Token-Count": "646,70", "Borageusher-Prompt-Prefix": fmt.Sprintf("5c1e07a2:155,%08x:491", 0x10000+n)}
		for name, value := range more {
			headers[name] = value
		}
		return w.send(m, request{method: "POST", host: "app.example", path: "/ask/1", deadline: deadline, body: strconv.Itoa(n), headers: headers})
	}
	// client sends a request and takes its stream up once, at another entry.
	client := func(n int) {
		defer wg.Done()
		start := time.Now()
		got := send(fronts[n%3], n, callerDeadline, nil)
		last := lastEvent(got.body)
		if got.whole || last == "" {
			return
		}
		again := send(fronts[1+n%2], n, callerDeadline-time.Since(start), map[string]string{"Last-Event-Id": last, "Resumes": got.id})
		w.record.add("took up", "id", again.id, "stream", got.id, "after", last, "versions", versionsOf(got.body), "status", again.status, "versions_then", versionsOf(again.body))
		mu.Lock()
		defer mu.Unlock()
		tookUp++
		if again.status == 200 && lastEvent(again.body) != "" {
			wentOn++
		}
	}
	// The streams begin from 0.2 s before the first replica drains until the second one does.
	begin := func() {
		for n := range 60 {
			wg.Add(1)
			go client(n)
			time.Sleep(20 * time.Millisecond)
		}
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		begin()
	}()
	time.Sleep(200 * time.Millisecond)
	for i := range 2 { // the release: a new replica starts, an old one drains, and once more after 1 s
		if trouble {
			if err := addEngine(17+i, "v2"); err != nil {
				return err
			}
			engines[i].drain()
			w.record.add("draining", "replica", engines[i].id)
		}
		if i == 0 {
			time.Sleep(time.Second)
		}
	}
	time.Sleep(2 * time.Second) // until the entries know; both serve for drain-ms, 4 s, at least
	w.kill(fronts[0])
	restarted := make(chan error, 1)
	time.AfterFunc(time.Second, func() { restarted <- w.start(fronts[0]) }) // the platform starts it again
	for n := range 30 {                                                     // new streams, while both still serve
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := send(fronts[1+n%2], 1000+n, callerDeadline, nil)
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if got.status == 200 && lastEvent(got.body) != "" {
				begun++
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	if err := <-restarted; err != nil {
		return err
	}
	fmt.Printf("streams taken up: %d, of these went on: %d; new streams: %d, of these began: %d\n", tookUp, wentOn, fresh, begun)
	w.record.add("streams", "taken_up", tookUp, "went_on", wentOn, "new", fresh, "began", begun)
	if tookUp < 12 || begun == 0 {
		return fmt.Errorf("%d streams were taken up, %d new ones began", tookUp, begun)
	}
	if float64(wentOn)/float64(tookUp) < 0.5*float64(begun)/float64(fresh) {
		return w.record.broken("%d of %d streams that were taken up went on, while %d of %d new ones began", wentOn, tookUp, begun, fresh)
	}
	return nil
}
