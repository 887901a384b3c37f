package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: lists and watches, linearizable. The
// operator and the servers write with put and remove.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []storeEvent
	beats    map[string]time.Time // last writes of the servers
	changed  chan struct{}        // closed and replaced at each change
}

type storeEvent struct {
	kind     string
	revision uint64
	event    object
}

func newStore(addr string) *store {
	return &store{addr: addr, revision: 100, objects: map[string]map[string]object{}, beats: map[string]time.Time{}, changed: make(chan struct{})}
}

func (s *store) listen() error {
	ln, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, s) }()
	go s.expire()
	return nil
}

// missedBeats is the number of heartbeat intervals of silence after which an entry of a
// server is removed.
const missedBeats = 3

// beat writes the entry of a server. It changes when more than its seq does.
func (s *store) beat(id string, spec object) {
	s.mu.Lock()
	s.beats[id] = time.Now()
	old, ok := s.objects["servers"][id]
	s.mu.Unlock()
	if ok && sameEntry(old["spec"].(object), spec) {
		return
	}
	s.put("servers", id, spec)
}

// sameEntry reports whether two entries differ at most in their seq.
func sameEntry(a, b object) bool {
	a, b = maps.Clone(a), maps.Clone(b)
	delete(a, "seq")
	delete(b, "seq")
	return reflect.DeepEqual(a, b)
}

// expire removes the entries of silent servers.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		var silent []string
		for id, at := range s.beats {
			if time.Since(at) > missedBeats*heartbeat {
				silent = append(silent, id)
				delete(s.beats, id)
			}
		}
		s.mu.Unlock()
		for _, id := range silent {
			s.remove("servers", id)
		}
	}
}

// put writes an object and returns when the store has accepted it.
func (s *store) put(kind, name string, spec object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{"metadata": object{"name": name, "revision": s.revision, "create-rev": s.revision, "finalizers": []string{}, "deleting": false}, "spec": spec, "status": nil}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.publish(kind, object{"removed": false, "object": o})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(kind, object{"removed": true, "object": o})
}

// publish adds an event. The caller holds mu.
func (s *store) publish(kind string, event object) {
	s.events = append(s.events, storeEvent{kind, s.revision, event})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok || r.Method != http.MethodGet {
		w.WriteHeader(404)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	if watch := r.URL.Query().Get("watch"); watch != "" {
		after, _ := strconv.ParseUint(watch, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
		s.watch(w, r, kind, after, time.Duration(min(wait, 30000))*time.Millisecond)
		return
	}
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(len(names), 500)] {
		items = append(items, s.objects[kind][name])
	}
	b, _ := json.Marshal(object{"items": items, "has-more": len(names) > 500, "current-rev": s.revision})
	s.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	_, _ = w.Write(b)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		found := []object{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e.event)
			}
		}
		changed := s.changed
		b, _ := json.Marshal(object{"events": found, "current-rev": s.revision})
		s.mu.Unlock()
		if len(found) > 0 || ended {
			time.Sleep(4 * time.Millisecond)
			_, _ = w.Write(b)
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
