package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the model replicas, as on the sheet of dobrescu-flux.
const (
	modelName       = "daka510000"
	engineSlots     = 128
	adapterSlots    = 17
	modelLoadTime   = 1100 * time.Millisecond // from the replica's disk, where its weights were before (disk-s)
	adapterLoadTime = 250 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
)

// flux is the service of the replicas.
const flux = "huvo11a"

// orderBody is an order to a replica.
type orderBody struct {
	Operation, Model, Adapter, Holder string
	Version, Fence                    int
	Expected                          *int
}

// replica is a stand-in for a model replica. It takes its time for orders, crashes if it is
// ordered to load more than it has places for, and may start again under its id.
type replica struct {
	cluster *cluster
	id      string
	addr    string
	zone    string
	events  int           // of a stream
	gap     time.Duration // before each event

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64 // zero while the replica is down
	model    bool
	busy     bool
	adapters []string        // NAME@VERSION
	coming   []string        // the same
	leaving  map[string]bool // adapters that are dropped when their runs have ended
	running  map[string]int  // requests by adapter
	seq      int

	loaded   []string                                          // adapters that were ordered, in the order of the first orders
	keepBack func(l *replica, o orderBody, expect string) bool // whether an order gets no answer, nil for never
	overfull int                                               // orders to load that the replica had no place for
	cut      int                                               // requests that ran when it crashed for that
}

func newReplica(c *cluster, i int) *replica {
	return &replica{
		cluster: c, id: fmt.Sprintf("i-7f3a91c%d", i), zone: zoneOf(i), addr: c.addr(c.sideIP(i), c.ports.app), events: 35, gap: 150 * time.Millisecond,
	}
}

// start begins a new incarnation. The first one holds its model, as at the start of the
// platform, the others are empty.
func (l *replica) start(model bool) error {
	ln, err := net.Listen("tcp4", l.addr)
	if err != nil {
		return err
	}
	conns := map[net.Conn]bool{}
	l.mu.Lock()
	l.listener, l.conns, l.born, l.model, l.busy, l.seq = ln, conns, time.Now().UnixMilli(), model, false, 0
	l.adapters, l.coming, l.leaving, l.running = nil, nil, map[string]bool{}, map[string]int{}
	born := l.born
	l.mu.Unlock()
	srv := &http.Server{Handler: l, ConnState: func(c net.Conn, s http.ConnState) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if conns[c] = true; s == http.StateClosed {
			delete(conns, c)
		}
	}}
	go func() { _ = srv.Serve(ln) }()
	l.cluster.record.printf("replica %s starts, born %d, with its model: %t", l.id, born, model)
	go l.register(born)
	return nil
}

// register writes the replica's entry until the incarnation ends.
func (l *replica) register(born int64) {
	for n := 1; ; n++ {
		l.mu.Lock()
		ended := l.born != born
		models := l.models()
		l.mu.Unlock()
		if ended {
			return
		}
		l.cluster.store.beat(l.id, object{
			"service": flux, "address": l.addr, "zone": l.zone, "version": "v1", "slots": engineSlots, "state": "ready",
			"cold-left-ms": 0, "seq": n, "born": born, "models": models, "stage": "both",
		})
		time.Sleep(heartbeat)
	}
}

// crash ends the incarnation. The caller holds mu.
func (l *replica) crash() {
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.Close()
	}
	l.born = 0
	l.cluster.record.printf("replica %s crashes", l.id)
}

// ServeHTTP implements http.Handler.
func (l *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Borageusher-Instance-Id", l.id)
	case "/v1/report":
		l.report(w)
	case "/v1/order":
		l.order(w, r)
	default:
		l.run(w, r)
	}
}

// models returns the list of models. The caller holds mu.
func (l *replica) models() []object {
	if !l.model {
		return []object{}
	}
	return []object{{"name": modelName, "version": 1, "adapters": append([]string{}, l.adapters...)}}
}

// requests returns the number of requests that run. The caller holds mu.
func (l *replica) requests() int {
	n := 0
	for _, k := range l.running {
		n += k
	}
	return n
}

func (l *replica) report(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	coming := []string{}
	for _, a := range l.coming {
		coming = append(coming, modelName+"/"+a)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object{
		"stage": "both", "models": l.models(), "busy": l.busy, "seq": l.seq, "queued": 0, "running": l.requests(), "kv-used": 1000 * l.requests(),
		"kv-total": 152003, "handles": 0, "state": "ready", "born": l.born, "coming": coming,
	})
}

// order answers an order, unless it is kept back without an answer.
func (l *replica) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(400)
		return
	}
	expect := r.Header.Get("Borageusher-Expect-Instance")
	if l.keepBack != nil && l.keepBack(l, o, expect) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := l.carryOut(o, expect)
	if status == 421 {
		w.Header().Set("Borageusher-Instance-Id", l.id)
	}
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status of its answer, zero if the replica is
// down or crashes.
func (l *replica) carryOut(o orderBody, expect string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	born := l.born
	matches := func(a string) bool { return strings.HasPrefix(a, o.Adapter+"@") }
	held := slices.IndexFunc(l.adapters, matches)
	status, expected := 400, -1
	if o.Expected != nil {
		expected = *o.Expected
	}
	full := 0
	switch {
	case born == 0:
		return 0
	case o.Holder == "" || o.Fence == 0 || o.Model != modelName:
	case expect != "" && expect != l.id:
		status = 421
	case l.busy || (o.Expected != nil && expected != l.seq):
		status = 409
	case o.Adapter == "" && o.Operation == "load" && !l.model:
		l.seq++
		l.busy, status = true, 202
		time.AfterFunc(modelLoadTime, func() { l.complete(born, func() { l.busy, l.model = false, true }) })
	case o.Adapter == "" && o.Operation == "load":
		status = 200
	case o.Adapter == "" || !l.model:
	case o.Operation == "unload" && held < 0:
		status = 200
	case o.Operation == "unload" && l.running[o.Adapter] > 0:
		l.seq++
		l.leaving[o.Adapter], status = true, 202
	case o.Operation == "unload":
		l.seq++
		l.adapters, status = slices.Delete(l.adapters, held, held+1), 200
	case held >= 0 || slices.ContainsFunc(l.coming, matches):
		status = 200
	default:
		l.seq++
		if !slices.Contains(l.loaded, o.Adapter) {
			l.loaded = append(l.loaded, o.Adapter)
		}
		a := fmt.Sprintf("%s@%d", o.Adapter, max(1, o.Version))
		l.coming, status = append(l.coming, a), 202
		full = len(l.adapters) + len(l.coming)
		time.AfterFunc(adapterLoadTime, func() {
			l.complete(born, func() {
				l.coming = slices.DeleteFunc(l.coming, func(c string) bool { return c == a })
				l.adapters = append(l.adapters, a)
			})
		})
	}
	l.cluster.record.printf("%s: order %s %s/%s by %s, expected %d: %d, now %d orders, %d adapters", l.id, o.Operation, o.Model, o.Adapter, o.Holder,
		expected, status, l.seq, len(l.adapters)+len(l.coming))
	if full > adapterSlots {
		l.overfull++
		l.cut += l.requests()
		l.cluster.record.printf("LIMIT: %s is ordered to load its adapter number %d, it has %d places; %d requests run there", l.id, full, adapterSlots, l.requests())
		l.crash()
		return 0
	}
	return status
}

// complete ends a load unless the incarnation has ended.
func (l *replica) complete(born int64, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.born == born {
		f()
	}
}

// begin begins a run, or returns the status of its refusal.
func (l *replica) begin(adapter, expect string) (born int64, load string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	matches := func(a string) bool { return strings.HasPrefix(a, adapter+"@") }
	switch {
	case expect != "" && expect != l.id:
		return 0, "", 421
	case l.leaving[adapter] || slices.ContainsFunc(l.coming, matches):
		return 0, "", 503
	case !slices.ContainsFunc(l.adapters, matches):
		return 0, "", 421
	case l.requests() >= engineSlots:
		return 0, "", 503
	}
	l.running[adapter]++
	return l.born, fmt.Sprintf("%d,0,%d", l.requests(), engineSlots), 0
}

// end ends a run.
func (l *replica) end(born int64, adapter string) {
	l.complete(born, func() {
		if l.running[adapter]--; l.running[adapter] == 0 && l.leaving[adapter] {
			delete(l.leaving, adapter)
			l.adapters = slices.DeleteFunc(l.adapters, func(a string) bool { return strings.HasPrefix(a, adapter+"@") })
		}
	})
}

// run answers a request with a stream, after Last-Event-Id if the request names one.
func (l *replica) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Borageusher-Request-Id")
	_, adapter, _ := strings.Cut(r.Header.Get("Borageusher-Model"), "/")
	h := w.Header()
	h.Set("Borageusher-Request-Id", id)
	born, load, status := l.begin(adapter, r.Header.Get("Borageusher-Expect-Instance"))
	if status != 0 {
		h.Set("Borageusher-Not-Run", "1")
		h.Set("Borageusher-Instance-Id", l.id)
		w.WriteHeader(status)
		return
	}
	defer l.end(born, adapter)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	l.cluster.record.printf("replica %s runs %s after event %d", l.id, id, last)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Borageusher-Server-Seal", "seal."+l.id+"."+id)
	h.Set("Borageusher-Server-Load", load)
	h.Set("Borageusher-Weight-Versions", "1")
	for n := last + 1; n <= l.events; n++ {
		select {
		case <-time.After(l.gap):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // never looks complete
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, l.id, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// state returns the number of orders and of adapters.
func (l *replica) state() (seq, adapters int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq, len(l.adapters) + len(l.coming)
}
