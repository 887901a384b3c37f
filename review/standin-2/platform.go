//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of objects in a page of a list.
const pageItems = 500

// object is an object of the store.
type object struct {
	name     string
	revision uint64
	created  uint64
	spec     json.RawMessage
}

// change is an entry of the store's history.
type change struct {
	kind    string
	object  object
	removed bool
}

// platform is a stand-in for the platform's store. It serves the calls that the system
// makes: lists and watches. It keeps its whole history.
type platform struct {
	addr string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}        // closed at the next change
	beats    map[string]time.Time // last write of each entry of kind servers
}

// startPlatform starts a store at an address of its own.
func startPlatform() (*platform, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		addr:     ln.Addr().String(),
		revision: 100,
		kinds:    map[string]map[string]object{},
		changed:  make(chan struct{}),
		beats:    map[string]time.Time{},
	}
	go p.expire()
	go func() { _ = http.Serve(ln, p) }() // ends with the process
	return p, nil
}

// put writes an object and returns once it is acknowledged.
func (p *platform) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kinds[kind] == nil {
		p.kinds[kind] = map[string]object{}
	}
	if kind == "servers" {
		p.beats[name] = time.Now()
	}
	p.revision++
	o := object{name: name, revision: p.revision, created: p.revision, spec: b}
	if old, ok := p.kinds[kind][name]; ok {
		if string(old.spec) == string(b) {
			p.revision--
			return // a write that changes nothing has no event
		}
		o.created = old.created
	}
	p.kinds[kind][name] = o
	p.record(change{kind: kind, object: o})
}

// heartbeat is the interval at which replicas write their entries, heartbeat-ms.
const heartbeat = 1200 * time.Millisecond

// expire removes the entries that nobody has written for three intervals.
func (p *platform) expire() {
	for {
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		var silent []string
		for name := range p.kinds["servers"] {
			if time.Since(p.beats[name]) > 3*heartbeat {
				silent = append(silent, name)
			}
		}
		p.mu.Unlock()
		for _, name := range silent {
			p.remove("servers", name)
		}
	}
}

// beat writes an entry now and at each interval until stop is closed.
func (p *platform) beat(name string, entry func() map[string]any, stop <-chan struct{}) {
	p.put("servers", name, entry())
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				p.put("servers", name, entry())
			case <-stop:
				return
			}
		}
	}()
}

// remove removes an object.
func (p *platform) remove(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.kinds[kind][name]
	if !ok {
		return
	}
	delete(p.kinds[kind], name)
	p.revision++
	o.revision = p.revision
	p.record(change{kind: kind, object: o, removed: true})
}

// record appends to the history. The caller holds mu.
func (p *platform) record(c change) {
	p.history = append(p.history, c)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (o object) wire() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "create-rev": o.created},
		"spec":     o.spec,
	}
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	kind, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok || r.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	q := r.URL.Query()
	if q.Get("watch") == "" {
		p.list(w, kind, q.Get("after"))
		return
	}
	since, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	p.watch(w, r, kind, since, time.Duration(wait)*time.Millisecond)
}

func (p *platform) list(w http.ResponseWriter, kind, after string) {
	p.mu.Lock()
	names := make([]string, 0, len(p.kinds[kind]))
	for name := range p.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	names = names[:min(len(names), pageItems)]
	items := []any{}
	for _, name := range names {
		items = append(items, p.kinds[kind][name].wire())
	}
	revision := p.revision
	p.mu.Unlock()
	reply(w, map[string]any{"items": items, "has-more": more, "current-rev": revision})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request, kind string, since uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := false; ; {
		p.mu.Lock()
		events := []any{}
		for _, c := range p.history {
			if c.kind == kind && c.object.revision > since {
				events = append(events, map[string]any{"object": c.object.wire(), "removed": c.removed})
			}
		}
		revision, changed := p.revision, p.changed
		p.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("encode: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // the caller may have left
}
