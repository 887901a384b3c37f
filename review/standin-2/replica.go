//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// execution is a request that a replica ran.
type execution struct {
	replica string
	version string
	id      string
	path    string
	tenant  string
	key     string // of Authorization, which must not be passed on
	prompt  string // parts of the prompt
	at      time.Time
}

// journal collects what the replicas ran.
type journal struct {
	record *record
	mu     sync.Mutex
	runs   []execution
	begun  map[string]bool // ids of requests whose answer a model replica began
}

// begin records that a model replica began the answer to a request.
func (j *journal) begin(id string) {
	j.record.add("begun", "id", id)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.begun == nil {
		j.begun = map[string]bool{}
	}
	j.begun[id] = true
}

// hasBegun reports whether the answer to a request was begun.
func (j *journal) hasBegun(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begun[id]
}

func (j *journal) add(e execution) {
	j.record.add("run", "replica", e.replica, "version", e.version, "id", e.id, "path", e.path, "tenant", e.tenant, "authorization", fmt.Sprintf("%q", e.key))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, e)
}

// all returns what was run so far.
func (j *journal) all() []execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]execution(nil), j.runs...)
}

// replica is a stand-in for a replica of a plain service.
type replica struct {
	id, service, version, zone string
	addr                       string
	born                       int64
	journal                    *journal
	slots                      int
	serve                      func(w http.ResponseWriter, r *http.Request, rep *replica) // runs a request; nil for a short answer

	store   *platform
	stop    chan struct{}
	running atomic.Int64
	ln      net.Listener
	srv     *http.Server
}

// start opens the address of a replica, or a new one if it has none.
func (rep *replica) start(ip string) error {
	if rep.addr == "" {
		rep.addr = ip + ":0"
	}
	ln, err := net.Listen("tcp4", rep.addr)
	if err != nil {
		return err
	}
	rep.addr, rep.ln, rep.born = ln.Addr().String(), ln, time.Now().UnixMilli()
	rep.srv = &http.Server{Handler: rep}
	go func() { _ = rep.srv.Serve(ln) }() // ends when the replica is stopped
	rep.stop = make(chan struct{})
	rep.store.beat(rep.id, func() map[string]any { return rep.entry("ready") }, rep.stop)
	return nil
}

// crash closes the address and all connections at once.
func (rep *replica) crash() {
	close(rep.stop)
	_ = rep.srv.Close()
}

// entry is the replica's entry in the store.
func (rep *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": rep.service, "address": rep.addr, "zone": rep.zone, "version": rep.version, "slots": rep.slots,
		"state": state, "cold-left-ms": 0, "born": rep.born,
	}
}

// ServeHTTP implements http.Handler.
func (rep *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Borageusher-Request-Id")
	h["Borageusher-Request-Id"] = []string{id}
	if expected := r.Header.Get("Borageusher-Expect-Instance"); expected != "" && expected != rep.id {
		h.Set("Borageusher-Instance-Id", rep.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n := rep.running.Add(1)
	defer rep.running.Add(-1)
	h.Set("Borageusher-Server-Load", fmt.Sprintf("%d,0,%d", n, rep.slots))
	rep.journal.add(execution{
		replica: rep.id, version: rep.version, id: id, path: r.URL.Path, at: time.Now(),
		tenant: r.Header.Get("Borageusher-Tenant"), key: r.Header.Get("Authorization"),
	})
	h.Set("Borageusher-Server-Seal", "3e1b.07."+rep.id)
	if rep.serve != nil {
		rep.serve(w, r, rep)
		return
	}
	_, _ = fmt.Fprintf(w, "done by %s\n", rep.id)
}
