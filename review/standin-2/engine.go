//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelSpec is a model of the configuration.
type modelSpec struct {
	name      string
	weightsMB float64
	adapterMB float64
}

// engine is a stand-in for a model replica. It holds what it is ordered to hold, and
// crashes when it is ordered to load more than it can hold.
type engine struct {
	id, service, zone string
	addr              string
	born              int64
	slots             int
	weightsMB         float64
	adapterSlots      int
	version           string        // of its software
	events            int           // of a stream
	pause             time.Duration // between two events
	specs             []modelSpec
	journal           *journal

	mu       sync.Mutex
	models   []string
	adapters []string // MODEL/NAME, held or coming
	coming   map[string]bool
	seq      int64
	overload string // the order by which it was ordered to load too much, empty if none was
	busy     bool   // it loads the weights of a model
	crashes  []time.Time
	srv      *http.Server
	store    *platform
	stop     chan struct{} // closed when it crashes
	draining bool

	poison   string // part of a prompt that crashes the engine when it begins to answer, empty for none
	downFor  time.Duration
	coldRead time.Duration   // time to read a prompt whose shared part is not kept
	warmRead time.Duration   // the same if it is kept
	loadTime time.Duration   // of the weights of a model
	kept     map[string]bool // adapters for which the shared part is kept
}

// crash ends the engine at once. It comes back empty after downFor, at its address and
// under its id.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv == nil {
		return
	}
	e.journal.record.add("down", "engine", e.id)
	e.crashes = append(e.crashes, time.Now())
	srv := e.srv
	close(e.stop)
	e.srv, e.models, e.adapters, e.coming, e.kept, e.seq, e.busy = nil, nil, nil, map[string]bool{}, nil, 0, false
	go func() { _ = srv.Close() }()
	time.AfterFunc(e.downFor, func() {
		ln, err := net.Listen("tcp4", e.addr)
		if err != nil {
			e.journal.record.add("restart failed", "engine", e.id, "error", err)
			return
		}
		e.mu.Lock()
		e.born = time.Now().UnixMilli()
		e.srv = &http.Server{Handler: e}
		srv := e.srv
		e.stop = make(chan struct{})
		stop := e.stop
		e.mu.Unlock()
		e.journal.record.add("up", "engine", e.id)
		go func() { _ = srv.Serve(ln) }()
		e.store.beat(e.id, e.entry, stop)
	})
}

// start opens the address of an engine that holds the given models.
func (e *engine) start(ip string, models ...string) error {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	e.addr, e.born, e.models, e.coming = ln.Addr().String(), time.Now().UnixMilli(), models, map[string]bool{}
	e.srv = &http.Server{Handler: e}
	go func() { _ = e.srv.Serve(ln) }() // ends when the engine crashes
	e.stop = make(chan struct{})
	e.store.beat(e.id, e.entry, e.stop)
	return nil
}

// drain has the engine report that it leaves. It serves on.
func (e *engine) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.store.put("servers", e.id, e.entry())
}

// entry is the engine's entry in the store.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.softwareVersion(), "slots": e.slots,
		"state": state, "cold-left-ms": 0, "born": e.born, "stage": "both", "models": e.modelList(),
	}
}

func (e *engine) softwareVersion() string {
	if e.version == "" {
		return "v1"
	}
	return e.version
}

func (e *engine) spec(model string) modelSpec {
	for _, s := range e.specs {
		if s.name == model {
			return s
		}
	}
	return modelSpec{}
}

// heldMB is the memory of all that the engine holds or loads. The caller holds mu.
func (e *engine) heldMB() float64 {
	sum := 0.0
	for _, m := range e.models {
		sum += e.spec(m).weightsMB
	}
	for _, a := range e.adapters {
		model, _, _ := strings.Cut(a, "/")
		sum += e.spec(model).adapterMB
	}
	return sum
}

func (e *engine) modelList() []any {
	list := []any{}
	for _, m := range e.models {
		names := []string{}
		for _, a := range e.adapters {
			if model, name, _ := strings.Cut(a, "/"); model == m && !e.coming[a] {
				names = append(names, name+"@1")
			}
		}
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": names})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Borageusher-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Borageusher-Instance-Id", e.id)
		w.Header()["Borageusher-Request-Id"] = r.Header["Borageusher-Request-Id"]
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.report(w)
	case "/v1/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	coming := []string{}
	for _, a := range e.adapters {
		if e.coming[a] {
			coming = append(coming, a+"@1")
		}
	}
	reply(w, map[string]any{
		"stage": "both", "models": e.modelList(), "busy": e.busy, "seq": e.seq, "queued": 0, "running": 0,
		"kv-used": 0, "kv-total": 200000, "handles": 0, "coming": coming, "born": e.born,
	})
}

// order carries out an order for an adapter.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		Fence                             int64
	}
	if err := json.Unmarshal(b, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	name := o.Model + "/" + o.Adapter
	at := -1
	for i, a := range e.adapters {
		if a == name {
			at = i
		}
	}
	switch {
	case o.Expected != nil && *o.Expected != e.seq:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Adapter == "" && o.Operation == "load" && !e.busy && !contains(e.models, o.Model):
		e.busy, e.seq = true, e.seq+1
		born := e.born
		time.AfterFunc(e.loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.born == born && e.busy {
				e.busy, e.models = false, append(e.models, o.Model)
			}
		})
		w.WriteHeader(http.StatusAccepted)
		return
	case o.Adapter == "" || !contains(e.models, o.Model):
		w.WriteHeader(http.StatusConflict)
		return
	case o.Operation == "unload":
		if at >= 0 && e.coming[name] {
			w.WriteHeader(http.StatusConflict)
			return
		}
		if at >= 0 {
			e.adapters = append(e.adapters[:at], e.adapters[at+1:]...)
			e.seq++
		}
		w.WriteHeader(http.StatusOK)
		return
	case at >= 0:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.adapters = append(e.adapters, name)
	e.coming[name] = true
	e.seq++
	e.journal.record.add("order", "engine", e.id, "load", name, "adapters", len(e.adapters), "held_mb", e.heldMB(), "weights_mb", e.weightsMB)
	if e.heldMB() > e.weightsMB || len(e.adapters) > e.adapterSlots {
		e.overload = fmt.Sprintf("load of %s: %d adapters of %d, %.0f MB of %.0f", name, len(e.adapters), e.adapterSlots, e.heldMB(), e.weightsMB)
		go func() { _ = e.srv.Close() }() // it crashes
		return
	}
	time.AfterFunc(250*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.coming, name)
	})
	w.WriteHeader(http.StatusAccepted)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// read takes the time to read a prompt for an adapter, and reports whether the request is
// still wanted then.
func (e *engine) read(r *http.Request, adapter string) bool {
	e.mu.Lock()
	d := e.coldRead
	if e.kept[adapter] {
		d = e.warmRead
	}
	e.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// run runs a streaming request.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id, name := r.Header.Get("Borageusher-Request-Id"), r.Header.Get("Borageusher-Model")
	model, _, named := strings.Cut(name, "/")
	h := w.Header()
	h["Borageusher-Request-Id"] = []string{id}
	e.mu.Lock()
	held := contains(e.models, model) && (!named || (contains(e.adapters, name) && !e.coming[name]))
	e.mu.Unlock()
	if !held {
		h.Set("Borageusher-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.journal.add(execution{replica: e.id, version: e.softwareVersion(), id: id, path: r.URL.Path, at: time.Now(), tenant: r.Header.Get("Borageusher-Tenant"), key: r.Header.Get("Authorization"), prompt: r.Header.Get("Borageusher-Prompt-Prefix")})
	if !e.read(r, name) {
		return
	}
	e.mu.Lock()
	if e.kept == nil {
		e.kept = map[string]bool{}
	}
	e.kept[name] = true
	e.mu.Unlock()
	if e.poison != "" && strings.Contains(r.Header.Get("Borageusher-Prompt-Prefix"), e.poison+":") {
		e.crash()
		<-r.Context().Done()
		return
	}
	h.Set("Borageusher-Server-Seal", "3e1b.07."+e.id)
	h.Set("Borageusher-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	e.journal.begin(id)
	events, pause := e.events, e.pause
	if events == 0 {
		events, pause = 5, 40*time.Millisecond
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, e.softwareVersion(), e.id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}

// overloaded returns the order by which the engine was ordered to load too much, empty if
// none was.
func (e *engine) overloaded() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overload
}
