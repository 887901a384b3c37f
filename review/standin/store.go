package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, as far as the project calls it: lists
// and watches.
type store struct {
	rec     *recorder
	mu      sync.Mutex
	rev     uint64
	era     uint64
	objects map[string]map[string]object // by kind and name
	written map[string]time.Time         // last write of each entry of kind servers
	events  map[string][]storeEvent      // by kind
	gone    map[string]uint64            // newest revision that the history lacks, by kind
	changed chan struct{}

	link sync.Mutex // held while an answer is on the store's link
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storeEvent struct {
	rev     uint64
	at      time.Time
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

func newStore(rec *recorder) *store {
	s := &store{written: map[string]time.Time{}, rec: rec, rev: 10, objects: map[string]map[string]object{}, events: map[string][]storeEvent{}, gone: map[string]uint64{}, changed: make(chan struct{})}
	go s.lapse()
	return s
}

// lapse removes the entries of kind servers that nobody wrote for three heartbeat
// intervals.
func (s *store) lapse() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		var silent []string
		for name, at := range s.written {
			if time.Since(at) > 3*heartbeat {
				silent = append(silent, name)
			}
		}
		s.mu.Unlock()
		for _, name := range silent {
			s.remove("servers", name)
		}
	}
}

// put writes an object and returns when it is acknowledged.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.change(kind, name, b, false)
}

func (s *store) remove(kind, name string) { s.change(kind, name, nil, true) }

func (s *store) change(kind, name string, spec []byte, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, known := s.objects[kind][name]
	if kind == "servers" && !removed {
		s.written[name] = time.Now()
	} else if kind == "servers" {
		delete(s.written, name)
	}
	if removed && !known || known && !removed && string(old.Spec) == string(spec) {
		return // a call that changes nothing makes no event
	}
	s.rev++
	o := object{Metadata: metadata{name, s.rev}, Spec: spec}
	if removed {
		o.Spec = old.Spec
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.events[kind] = append(s.events[kind], storeEvent{s.rev, time.Now(), o, removed})
	close(s.changed)
	s.changed = make(chan struct{})
	if !known || removed { // heartbeats are not recorded
		s.rec.note("store %s/%s removed=%v", kind, name, removed)
	}
	s.forget()
}

// forget drops the changes that are older than the history. The caller holds mu.
func (s *store) forget() {
	for kind, events := range s.events {
		for len(events) > 0 && time.Since(events[0].at) > historyTime {
			s.gone[kind], events = events[0].rev, events[1:]
		}
		s.events[kind] = events
	}
}

// Limits of the store.
const (
	historyTime = 20 * time.Second // history-s
	pageItems   = 500
	pageBytes   = 1 << 20
	linkBytes   = 125_000_000 // a second: the store's 1,000 Mbit/s
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	if q.Get("watch") == "" {
		s.list(w, kind, q.Get("after"))
		return
	}
	since, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.forget()
		if since < s.gone[kind] {
			s.mu.Unlock()
			w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
			w.WriteHeader(http.StatusGone)
			s.rec.note("store answers a watch of %s from %d with 410", kind, since)
			return
		}
		events := []storeEvent{}
		for _, e := range s.events[kind] {
			if e.rev > since {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.answer(w, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	n, size := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Spec) <= pageBytes) {
		size += len(items[n].Spec)
		n++
	}
	s.answer(w, map[string]any{"items": items[:n], "has-more": n < len(items), "current-rev": rev})
}

func (s *store) answer(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	for len(b) > 0 { // all answers share the store's link
		n := min(len(b), 256<<10)
		s.link.Lock()
		time.Sleep(time.Duration(n) * time.Second / linkBytes)
		s.link.Unlock()
		if _, err := w.Write(b[:n]); err != nil {
			return // the caller has left
		}
		b = b[n:]
	}
}
