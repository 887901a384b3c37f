package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/borageusher/borageusher/pkg/target"
)

// Parameters of the soak.
const (
	refusalSoakTargets = 3
	refusalSoakCallers = 8
	refusalSoakCalls   = 60 // of each caller
	// refusalSoakIDs is the number of request ids that the callers share. A third of
	// the calls have one of them.
	refusalSoakIDs = 4
	// refusalSoakDelay limits the random delays of targets and of changes to entries.
	refusalSoakDelay = 4 * time.Millisecond
)

// TestRefusalSoak guards against copies of responses that are taken for those of other
// attempts, so that a request runs twice or is reported as not run although it ran.
// SOAK_SEED selects the seed; SOAK_SEEDS is the number of seeds from it on.
func TestRefusalSoak(t *testing.T) {
	first, count := uint64(1), 3
	var err error
	if v := os.Getenv("SOAK_SEED"); v != "" {
		if first, err = strconv.ParseUint(v, 10, 64); err != nil {
			t.Fatal(err)
		}
		count = 1
	}
	if v := os.Getenv("SOAK_SEEDS"); v != "" {
		if count, err = strconv.Atoi(v); err != nil {
			t.Fatal(err)
		}
	}
	for i := range count {
		seed := first + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := &refusalSoak{rng: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}, statuses: map[int]int{}}
			s.run(t)
			t.Logf("seed %d: responses by status: %v, refusals %d, copies %d", seed, s.statuses, s.refusals, s.copies)
		})
	}
}

// refusalSoak records what targets did and what callers received. The body of a request
// identifies its call, and is repeated in the body of the response.
type refusalSoak struct {
	mu       sync.Mutex
	rng      *rand.Rand
	runs     map[string]int // by call
	statuses map[int]int
	refusals int
	copies   int
}

// chance returns true with probability p.
func (s *refusalSoak) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// n returns a random number below limit.
func (s *refusalSoak) n(limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(limit)
}

// delay waits for a random time up to refusalSoakDelay.
func (s *refusalSoak) delay() { time.Sleep(time.Duration(s.n(int(refusalSoakDelay)))) }

func (s *refusalSoak) run(t *testing.T) {
	var targets []*fakeTarget
	for i := range refusalSoakTargets {
		st := &soakTarget{soak: s, last: map[net.Conn]string{}}
		targets = append(targets, newFakeTarget(t, fmt.Sprint("t", i), st.handle))
	}
	tg := newTestGateway(t, targets...)
	tg.gateway.RetryBudget = newRetryBudget(0.3, 30, 10*time.Second, time.Now())
	done := make(chan struct{})
	var renames sync.WaitGroup
	renames.Go(func() { s.renameTargets(tg, targets, done) })
	var callers sync.WaitGroup
	results := make([]map[string]soakResult, refusalSoakCallers)
	for i := range results {
		results[i] = map[string]soakResult{}
		callers.Go(func() {
			for j := range refusalSoakCalls {
				call := fmt.Sprintf("call-%d-%d", i, j)
				results[i][call] = s.call(t, tg, call)
			}
		})
	}
	callers.Wait()
	close(done)
	renames.Wait()
	time.Sleep(10 * refusalSoakDelay) // a request that was refused may run later
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range results {
		for call, result := range results[i] {
			s.check(t, call, result)
		}
	}
}

// soakResult is the outcome of a call.
type soakResult struct {
	path   string
	status int // zero if the connection was closed
	body   string
}

func (s *refusalSoak) check(t *testing.T, call string, r soakResult) {
	t.Helper()
	s.statuses[r.status]++
	runs := s.runs[call]
	safe := r.path == "/safe/x" // may break off at one target and be rejected with 400 by the next
	if !safe && runs > 1 {
		t.Errorf("%s on %s ran %d times (status %d)", call, r.path, runs, r.status)
	}
	if (impliesNotRun(r.status) || (!safe && r.status == http.StatusBadRequest)) && runs > 0 {
		t.Errorf("%s on %s ran but was answered %d", call, r.path, r.status)
	}
	if r.status == http.StatusOK && r.body != call {
		t.Errorf("%s on %s got the response to %q", call, r.path, r.body)
	}
}

// renameTargets gives the entries of targets other ids until done is closed.
func (s *refusalSoak) renameTargets(tg *testGateway, targets []*fakeTarget, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		s.delay()
		now := time.Now()
		ft := targets[s.n(len(targets))]
		tg.fleet.mu.Lock()
		tg.fleet.upsert(now, target.Replica{ID: fmt.Sprint("renamed-", n), Service: "s", Addr: ft.addr, Zone: "a", Slots: 4, State: target.Live, Started: now})
		tg.fleet.mu.Unlock()
	}
}

// call sends a request and returns its outcome.
func (s *refusalSoak) call(t *testing.T, tg *testGateway, call string) soakResult {
	t.Helper()
	id := call
	if s.n(3) == 0 {
		id = fmt.Sprint("shared-", s.n(refusalSoakIDs))
	}
	result := soakResult{path: []string{"/unsafe/x", "/once/x", "/safe/x"}[s.n(3)]}
	r, err := http.NewRequest(http.MethodPost, tg.server.URL+result.path, strings.NewReader(call))
	if err != nil {
		t.Error(err)
		return result
	}
	r.Host = "h"
	r.Header.Set("Id", id)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result
	}
	result.status, result.body = resp.StatusCode, string(body)
	return result
}

// soakTarget refuses some requests and runs the others. It writes copies of its
// responses on their connections: at once, after a moment, and before or during the next
// request.
type soakTarget struct {
	soak *refusalSoak

	mu   sync.Mutex
	last map[net.Conn]string // last response
}

// handle is a step.
func (st *soakTarget) handle(c net.Conn, r *http.Request) bool {
	s := st.soak
	if s.chance(0.4) {
		st.copyLast(c)
	}
	call, _ := io.ReadAll(r.Body)
	if s.chance(0.4) {
		status := []int{503, 503, 421, 429, 400}[s.n(5)]
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno", status, r.Header.Get("Id"))
		s.mu.Lock()
		s.refusals++
		s.mu.Unlock()
		st.respond(c, text)
		return true
	}
	s.mu.Lock()
	s.runs[string(call)]++
	s.mu.Unlock()
	s.delay()
	if s.chance(0.2) {
		st.copyLast(c)
	}
	s.delay()
	if s.chance(0.05) {
		return resetAfter("")(c, r)
	}
	st.respond(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(call), call))
	return true
}

// respond writes a response and, at random, a copy of it at once or after a moment.
func (st *soakTarget) respond(c net.Conn, text string) {
	st.mu.Lock()
	st.last[c] = text
	st.mu.Unlock()
	_, _ = io.WriteString(c, text)
	switch st.soak.n(8) {
	case 0:
		st.copyLast(c)
	case 1:
		go func() {
			st.soak.delay()
			st.copyLast(c)
		}()
	}
}

// copyLast writes a copy of the last response on a connection.
func (st *soakTarget) copyLast(c net.Conn) {
	st.mu.Lock()
	text := st.last[c]
	st.mu.Unlock()
	if text == "" {
		return
	}
	st.soak.mu.Lock()
	st.soak.copies++
	st.soak.mu.Unlock()
	_, _ = io.WriteString(c, text)
}
