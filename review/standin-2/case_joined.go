//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["joined"] = playJoined }

// serveRows answers a lookup with rows as events. Its ids count the rows of this run; the
// route is not resumable, so that Last-Event-Id means nothing to it.
func serveRows(w http.ResponseWriter, r *http.Request, rep *replica) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 20; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: row %d as %s read it\n\n", i, i, rep.id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// playJoined has one replica of a service of ten crash while it answers lookups.
func playJoined(w *world, trouble bool) error {
	j := &journal{record: w.record}
	w.store.put("config", "main", plainConfiguration(1))
	var replicas []*replica
	for i := range 10 {
		rep := &replica{store: w.store, id: fmt.Sprintf("i-%d", i), service: "app-api", version: "v1", zone: "hcm-a", journal: j, slots: 64, serve: serveRows}
		if err := rep.start("127.0.0.1"); err != nil {
			return err
		}
		replicas = append(replicas, rep)
	}
	m, err := w.addFront("front-1", "127.0.0.1", "hcm-a")
	if err != nil {
		return err
	}
	if err := m.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	joined, whole := 0, 0
	for range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := w.send(m, request{method: "GET", host: "app.example", path: "/read/1", deadline: 2500 * time.Millisecond})
			writers := map[string]bool{}
			for _, rep := range replicas {
				if strings.Contains(got.body, "as "+rep.id+" read it") {
					writers[rep.id] = true
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if got.status != 200 || !got.whole {
				return
			}
			whole++
			if len(writers) > 1 {
				joined++
				w.record.add("joined", "id", got.id, "seal", got.header.Get("Borageusher-Server-Seal"), "body", fmt.Sprintf("%q", got.body))
			}
		}()
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w.record.add("down", "replica", replicas[0].id)
		replicas[0].crash()
	}
	wg.Wait()
	fmt.Printf("whole answers: %d, of two runs: %d\n", whole, joined)
	if joined > 0 {
		return w.record.broken("%d successful answers hold the pieces of two runs", joined)
	}
	if whole < 80 {
		return fmt.Errorf("only %d answers were whole", whole)
	}
	return nil
}
