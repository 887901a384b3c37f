//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["models"] = playModels }

// playModels moves the demand from the adapters of one model to those of another one that
// the same replica holds.
func playModels(w *world, trouble bool) error {
	j := &journal{record: w.record}
	specs := []modelSpec{{"m0", 36000, 40}, {"m1", 34000, 600}}
	e := &engine{store: w.store, id: "i-1", service: "llm-pool", zone: "hcm-a", journal: j, slots: 64, weightsMB: 75000, adapterSlots: 15, specs: specs}
	if err := e.start("127.0.0.2", "m0", "m1"); err != nil {
		return err
	}
	w.store.put("config", "main", modelsConfiguration(specs, e.weightsMB, e.adapterSlots))
	if _, err := w.addSide("side-1", "127.0.0.2", "hcm-a", e.addr, "llm-pool"); err != nil {
		return err
	}
	m, err := w.addFront("front-1", "127.0.0.1", "hcm-a")
	if err != nil {
		return err
	}
	if err := m.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // for the connection to the targetd
	served := 0
	// send asks for the adapters of a model from one number to another.
	send := func(model string, from, to int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := from; i < to; i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				got := w.send(m, request{method: "POST", host: "app.example", path: "/ask/1", deadline: 5 * time.Second, body: "x", headers: map[string]string{
					"Borageusher-Model": fmt.Sprintf("%s/a%d", model, i+1), "Borageusher-Token-Count": "646,70", "Borageusher-Prompt-Prefix": fmt.Sprintf("5c1e07a2:155,%08x:491", lastRequest.Load()+int64(i)<<16),
				}})
				mu.Lock()
				defer mu.Unlock()
				if got.status == 200 && got.whole {
					served++
				}
			}()
		}
		wg.Wait()
	}
	for range 10 {
		send("m0", 0, 12)
		time.Sleep(100 * time.Millisecond)
	}
	if served < 60 {
		return fmt.Errorf("only %d requests for the first model were served", served)
	}
	w.record.add("demand moves", "trouble", trouble)
	const moves = 8 * time.Second
	for start := time.Now(); time.Since(start) < moves+2*time.Second; time.Sleep(100 * time.Millisecond) {
		moved := 0
		if trouble {
			moved = min(12, int(12*time.Since(start)/moves))
		}
		send("m0", moved, 12)
		send("m1", 0, moved)
		if order := e.overloaded(); order != "" {
			return w.record.broken("the replica was ordered to load more than it holds: %s", order)
		}
	}
	return nil
}
