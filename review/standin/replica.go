package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for one replica of a service, plain or with an engine. It
// serves one request at a time on a connection, checks Borageusher-Expect-Instance, and
// registers itself in the store.
type replica struct {
	rec     *recorder
	store   *store
	service string
	zone    string
	addr    string
	slots   int
	engine  bool
	name    string

	work   time.Duration                        // of a plain request, and of a stream's first event
	tail   time.Duration                        // of one plain request in a hundred, zero for none
	events int                                  // of a stream
	gap    time.Duration                        // between two events
	crash  func(r *http.Request, b []byte) bool // whether a request crashes the replica that begins to run it
	down   time.Duration                        // until it is back after a crash
	onRun  func(run)

	mu      sync.Mutex
	id      string
	born    int64
	starts  int
	srv     *http.Server
	conns   map[net.Conn]struct{}
	running atomic.Int64
	served  atomic.Int64
	crashes []time.Time
	ended   chan struct{} // closed when this incarnation crashes
}

// run is one request that a replica began to run.
type run struct {
	at       time.Time
	replica  string
	instance string
	id       string
	path     string
	body     string
	from     string
	prefix   string
	crashed  bool
}

// start starts an incarnation.
func (p *replica) start() error {
	ln, err := net.Listen("tcp4", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.addr = ln.Addr().String()
	}
	p.starts++
	p.id = fmt.Sprintf("i-%s-%d", p.name, p.starts)
	p.born = time.Now().UnixMilli()
	p.conns = map[net.Conn]struct{}{}
	p.ended = make(chan struct{})
	p.running.Store(0)
	h := &incarnation{p: p, id: p.id, born: p.born, ended: p.ended}
	conns := p.conns
	p.srv = &http.Server{
		Handler: h,
		ConnState: func(c net.Conn, s http.ConnState) {
			p.mu.Lock()
			defer p.mu.Unlock()
			switch s {
			case http.StateNew:
				conns[c] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(conns, c)
			}
		},
	}
	srv := p.srv
	go func() { _ = srv.Serve(ln) }()
	go p.beat(p.id, p.born, p.ended)
	p.rec.note("replica %s begins as %s at %s", p.name, p.id, p.addr)
	return nil
}

// heartbeat is heartbeat-ms of the settings.
const heartbeat = 1200 * time.Millisecond

// beat writes the entry of an incarnation until that ends. An entry is removed after
// three intervals of silence.
func (p *replica) beat(id string, born int64, ended <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		p.store.put("servers", id, map[string]any{
			"service": p.service, "address": p.addr, "zone": p.zone, "version": 1, "slots": p.slots,
			"state": "ready", "cold-left-ms": 0, "seq": seq, "born": born,
		})
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
	}
}

// die is a crash of the process: its connections are reset and its port is closed. It
// sends nothing more, so that the store removes its entry after three heartbeat intervals
// of silence. It starts again after p.down.
func (p *replica) die() {
	p.mu.Lock()
	id := p.id
	srv := p.srv
	select {
	case <-p.ended:
		p.mu.Unlock()
		return
	default:
	}
	close(p.ended)
	p.crashes = append(p.crashes, time.Now())
	var conns []net.Conn
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	p.rec.note("replica %s crashes as %s", p.name, id)
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = srv.Close()
	time.AfterFunc(p.down, func() {
		if err := p.start(); err != nil {
			p.rec.note("replica %s can't start again: %v", p.name, err)
		}
	})
}

// incarnation is one start of a replica.
type incarnation struct {
	p     *replica
	id    string
	born  int64
	ended chan struct{}
}

func (h *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := h.p
	w.Header().Set("Borageusher-Instance-Id", h.id)
	switch r.URL.Path {
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}},
			"busy": false, "seq": 0, "queued": 0, "running": p.running.Load(), "kv-used": 0, "kv-total": 150000,
			"handles": 0, "born": h.born, "coming": []string{},
		})
		return
	case "/v1/order":
		w.WriteHeader(http.StatusBadRequest)
		return
	case "/healthz":
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Borageusher-Request-Id")
	w.Header().Set("Borageusher-Request-Id", id)
	w.Header()["Date"] = nil
	running := p.running.Add(1)
	defer p.running.Add(-1)
	w.Header().Set("Borageusher-Server-Load", fmt.Sprintf("%d,0,%d", running, p.slots))
	if r.Header.Get("Borageusher-Expect-Instance") != h.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running > int64(p.slots) {
		w.Header().Set("Borageusher-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	crashes := p.crash != nil && p.crash(r, body)
	p.onRun(run{at: time.Now(), replica: p.name, instance: h.id, id: id, path: r.URL.Path, body: string(body), from: r.RemoteAddr,
		prefix: r.Header.Get("Borageusher-Prompt-Prefix"), crashed: crashes})
	p.rec.note("replica %s runs %s %s crashes=%v", p.name, id, r.URL.RequestURI(), crashes)
	if crashes {
		h.wait(r.Context(), 20*time.Millisecond)
		p.die()
		panic(http.ErrAbortHandler)
	}
	work := p.work
	if p.tail > 0 && p.served.Add(1)%100 == 0 {
		work = p.tail
	}
	if !h.wait(r.Context(), work) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Borageusher-Server-Seal", "3e1b."+h.id+"."+id)
	if !p.engine {
		answer := bytes.Repeat([]byte("x"), 800)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
		return
	}
	w.Header().Set("Borageusher-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := 1; i <= p.events; i++ {
		if i > 1 && !h.wait(r.Context(), p.gap) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("y", 30))
		_ = flush.Flush()
	}
}

// wait waits for d. It returns false if the caller has left or the incarnation ended.
func (h *incarnation) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	case <-h.ended:
		return false
	}
}
