package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// soakCallers is the number of callers of a soak.
const soakCallers = 8

// soakKey is the bearer key of the team whose services a soak calls.
const soakKey = "tessaro-example-key"

// soakTokens is the length of the answers that a soak asks for.
const soakTokens = 12

// callKind is a kind of call that a soak makes.
type callKind int

// The kinds of call.
const (
	completion callKind = iota
	stream
	plain
	keyed
	callKinds
)

// seenCall is what a caller saw of one call.
type seenCall struct {
	kind    callKind
	adapter string // with version
	prompt  string // or the body of a plain call; unique for each request
	outcome string // X-Outcome, "broken" or "failed"
	body    string
}

// String describes the call for a failure.
func (s seenCall) String() string {
	return fmt.Sprintf("kind %d adapter %s prompt %s: %s %s", s.kind, s.adapter, s.prompt, s.outcome, s.body)
}

// callers call entries until they are told to finish.
type callers struct {
	entries []string
	client  *http.Client
	stop    chan struct{}
	wg      sync.WaitGroup
	counter atomic.Int64

	mu   sync.Mutex
	seen []seenCall
}

func startCallers(entries []string, seed uint64) *callers {
	c := &callers{
		entries: entries,
		client:  &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}},
		stop:    make(chan struct{}),
	}
	for n := range uint64(soakCallers) {
		rng := rand.New(rand.NewPCG(seed, n+1))
		c.wg.Go(func() { c.run(rng) })
	}
	return c
}

func (c *callers) finish() {
	close(c.stop)
	c.wg.Wait()
}

func (c *callers) run(rng *rand.Rand) {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		kind := callKind(rng.IntN(int(callKinds)))
		first := rng.IntN(len(c.entries))
		seen := c.once(rng, kind, first)
		c.note(seen)
		// The caller of a request with a key sends it again elsewhere.
		for n := 1; kind == keyed && n <= 2 && seen.outcome != "answered"; n++ {
			seen = c.send(seen, first+n)
			c.note(seen)
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		if seen.outcome == "failed" || seen.outcome == "not_run" {
			time.Sleep(refusedPause)
		}
	}
}

func (c *callers) note(s seenCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, s)
}

// once makes a new request and sends it.
func (c *callers) once(rng *rand.Rand, kind callKind, entry int) seenCall {
	adapters := []string{"renewal-notices@1", "renewal-notices@2", "medical-certificates@1", "regulation-dossiers@2"}
	return c.send(seenCall{
		kind:    kind,
		adapter: adapters[rng.IntN(len(adapters))],
		prompt:  fmt.Sprintf("call%dx", c.counter.Add(1)),
	}, entry)
}

// send sends a request to an entry and returns what was seen.
func (c *callers) send(s seenCall, entry int) seenCall {
	s.outcome, s.body = "failed", ""
	url := "http://" + c.entries[entry%len(c.entries)]
	path, body := "/services/fees/charge?sleep=100ms", s.prompt
	if s.kind == completion || s.kind == stream {
		path = "/v1/completions"
		body = fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%t,"max_tokens":%d}`, s.adapter, s.prompt, s.kind == stream, soakTokens)
	}
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	req.Header.Set("Authorization", "Bearer "+soakKey)
	req.Header.Set("X-Start-Within", "5s")
	if s.kind == keyed {
		req.Header.Set("Idempotency-Key", "key-"+s.prompt)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	s.body = string(data)
	s.outcome = resp.Header.Get("X-Outcome")
	if err != nil {
		s.outcome = "broken"
	}
	return s
}

func sortNames(names []string) { sort.Strings(names) }

func splitList(s string) []string { return strings.Fields(s) }
