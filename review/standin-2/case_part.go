//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["part"] = playPart }

// The traffic of the case. Requests arrive at random times.
const (
	soundPerS = 1.56 // as mesh-report-digest on the site dobrescu-flux
	partPerS  = 3.0  // requests with the part that crashes replicas
	calm      = 16 * time.Second
	partsEnd  = 85 * time.Second
	crashPart = "badbad01"
	stable    = 4 * time.Second // stable-ms of the site
	downFor   = 3 * time.Second
	coldRead  = 560 * time.Millisecond // of 9,190 tokens, as on that site
	warmRead  = 230 * time.Millisecond // of 2,890 tokens, while the shared part is kept
)

// sentRequest is one client attempt of the case.
type sentRequest struct {
	id   string
	at   time.Time
	part bool // it has the part
}

// playPart has one part of the prompts of a route crash each replica that begins to answer
// it, while sound requests with the same first part come.
func playPart(w *world, trouble bool) error {
	j := &journal{record: w.record}
	w.bounds["stable-ms"], w.bounds["strict-revoke"], w.bounds["drain-ms"], w.bounds["config-apply-ms"] = stable.Milliseconds(), false, 3000, 3000
	specs := []modelSpec{{"m0", 34300, 40}}
	cfg := modelsConfiguration(specs, 35700, 17)
	cfg["routes"].([]map[string]any)[0]["timeout-ms"] = 8000
	w.store.put("config", "main", cfg)
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	var engines []*engine
	for i := range 9 {
		e := &engine{
			store: w.store, id: fmt.Sprintf("i-%d", i), service: "llm-pool", zone: zones[i%3], journal: j, slots: 128, weightsMB: 35700, adapterSlots: 17, specs: specs,
			poison: crashPart, downFor: downFor, coldRead: coldRead, warmRead: warmRead, loadTime: 1100 * time.Millisecond,
		}
		ip := fmt.Sprintf("127.0.0.%d", 30+i)
		if err := e.start(ip, "m0"); err != nil {
			return err
		}
		if _, err := w.addSide(fmt.Sprintf("side-%d", i), ip, e.zone, e.addr, "llm-pool"); err != nil {
			return err
		}
		engines = append(engines, e)
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
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []sentRequest
	start := time.Now()
	send := func(n, front int, part bool) {
		defer wg.Done()
		prompt := fmt.Sprintf("5c1e07a2:6300,%08x:2890", 0x10000+n)
		if part {
			prompt = fmt.Sprintf("5c1e07a2:6300,%s:1000,%08x:1890", crashPart, 0x9000000+n)
		}
		at := time.Now()
		got := w.send(fronts[front], request{method: "POST", host: "app.example", path: "/ask/1", deadline: 8 * time.Second, body: fmt.Sprint(n), headers: map[string]string{
			"Borageusher-Model": "m0/a1", "Borageusher-Token-Count": "9190,70", "Borageusher-Prompt-Prefix": prompt,
		}})
		mu.Lock()
		defer mu.Unlock()
		all = append(all, sentRequest{got.id, at, part})
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	arrive := func(stream uint64, perS float64, from time.Duration, part bool) {
		defer wg.Done()
		random := rand.New(rand.NewPCG(seed, stream))
		for n, at := 0, from; at < partsEnd; n++ {
			time.Sleep(time.Until(start.Add(at)))
			wg.Add(1)
			go send(n, random.IntN(len(fronts)), part)
			at += time.Duration(random.ExpFloat64() * float64(time.Second) / perS)
		}
	}
	wg.Add(1)
	go arrive(1, soundPerS, 0, false)
	if trouble {
		wg.Add(1)
		go arrive(2, partPerS, calm, true)
	}
	wg.Wait()
	return checkPart(w.record, j, engines, all, start)
}

// checkPart checks the rules on parts that crash replicas.
func checkPart(rec *record, j *journal, engines []*engine, all []sentRequest, start time.Time) error {
	var crashes []time.Time
	for _, e := range engines {
		crashes = append(crashes, e.crashes...)
	}
	sort.Slice(crashes, func(a, b int) bool { return crashes[a].Before(crashes[b]) })
	rec.add("crashes", "count", len(crashes))
	fmt.Println("crashes:", len(crashes))
	from, until := start.Add(calm), time.Now()
	if len(crashes) > 0 {
		fifth := crashes[min(5, len(crashes))-1]
		late := 0
		for _, e := range j.all() {
			if len(crashes) >= 5 && strings.Contains(e.prompt, crashPart+":") && e.at.After(fifth.Add(stable)) {
				late++
			}
		}
		fmt.Printf("requests with the part that reached replicas later than stable-ms after the fifth crash: %d, of 3 allowed\n", late)
		if late > 3 {
			return rec.broken("%d requests with the part reached replicas later than stable-ms after the fifth crash", late)
		}
		from = fifth.Add(2 * stable)
	}
	share := func(from, to time.Time) (begun, sent int) {
		for _, q := range all {
			if !q.part && q.at.After(from) && q.at.Before(to) {
				sent++
				if j.hasBegun(q.id) {
					begun++
				}
			}
		}
		return begun, sent
	}
	begunBefore, before := share(start, start.Add(calm))
	begunAfter, after := share(from, until)
	fmt.Printf("sound requests that began: %d of %d before, %d of %d after\n", begunBefore, before, begunAfter, after)
	rec.add("sound", "begun_before", begunBefore, "before", before, "begun_after", begunAfter, "after", after)
	if before < 20 || after < 20 || begunBefore*2 < before {
		return fmt.Errorf("too few sound requests began: %d of %d before, %d sent after", begunBefore, before, after)
	}
	if 2*begunAfter*before < begunBefore*after {
		return rec.broken("%d of %d sound requests began, %d of %d before", begunAfter, after, begunBefore, before)
	}
	return nil
}
