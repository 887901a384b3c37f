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

// soakCallers is the number of concurrent callers of a soak.
const soakCallers = 8

// soakKey is the API key of the team whose services a soak calls.
const soakKey = "tessaro-example-key"

// soakTokens is the number of tokens that a soak requests for each completion.
const soakTokens = 12

// callKind is a kind of request that a soak sends.
type callKind int

// The kinds of request.
const (
	completion callKind = iota
	streamedCompletion
	plainService
	idempotentPlainService
	callKinds // number of kinds
)

// callRecord describes one call and the response that the caller received.
type callRecord struct {
	kind    callKind
	adapter string // name@version
	prompt  string // or the body for a plain service; unique for each request, equal for its retries
	outcome string // X-Outcome header; "broken" if the body was not read completely, "failed" without a response
	body    string
}

// String describes the call in the log of a failed soak.
func (r callRecord) String() string {
	return fmt.Sprintf("kind %d adapter %s prompt %s: %s %s", r.kind, r.adapter, r.prompt, r.outcome, r.body)
}

// callerPool runs concurrent callers that send requests to the entryds until
// stopAndWait.
type callerPool struct {
	entrydAddrs  []string
	client       *http.Client
	stop         chan struct{}
	wg           sync.WaitGroup
	requestCount atomic.Int64

	mu      sync.Mutex
	records []callRecord
}

func startCallers(entrydAddrs []string, seed uint64) *callerPool {
	c := &callerPool{
		entrydAddrs: entrydAddrs,
		client:      &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		stop:        make(chan struct{}),
	}
	for n := range uint64(soakCallers) {
		rng := rand.New(rand.NewPCG(seed, n+1))
		c.wg.Go(func() { c.run(rng) })
	}
	return c
}

func (c *callerPool) stopAndWait() {
	close(c.stop)
	c.wg.Wait()
}

func (c *callerPool) run(rng *rand.Rand) {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		kind := callKind(rng.IntN(int(callKinds)))
		first := rng.IntN(len(c.entrydAddrs))
		record := c.sendNew(rng, kind, first)
		c.add(record)
		// A request with an idempotency key is retried through other entryds.
		for n := 1; kind == idempotentPlainService && n <= 2 && record.outcome != "answered"; n++ {
			record = c.send(record, first+n)
			c.add(record)
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		if record.outcome == "failed" || record.outcome == "not_run" {
			time.Sleep(rejectionBackoff)
		}
	}
}

func (c *callerPool) add(r callRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

// sendNew sends a new request for a random adapter.
func (c *callerPool) sendNew(rng *rand.Rand, kind callKind, entryd int) callRecord {
	adapters := []string{"renewal-notices@1", "renewal-notices@2", "medical-certificates@1", "regulation-dossiers@2"}
	return c.send(callRecord{
		kind:    kind,
		adapter: adapters[rng.IntN(len(adapters))],
		prompt:  fmt.Sprintf("call%dx", c.requestCount.Add(1)),
	}, entryd)
}

// send sends the request of r to an entryd and returns r with the outcome and body
// of the response.
func (c *callerPool) send(r callRecord, entryd int) callRecord {
	r.outcome, r.body = "failed", ""
	url := "http://" + c.entrydAddrs[entryd%len(c.entrydAddrs)]
	path, body := "/services/fees/charge?sleep=100ms", r.prompt
	if r.kind == completion || r.kind == streamedCompletion {
		path = "/v1/completions"
		body = fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%t,"max_tokens":%d}`, r.adapter, r.prompt, r.kind == streamedCompletion, soakTokens)
	}
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		return r
	}
	req.Header.Set("Authorization", "Bearer "+soakKey)
	req.Header.Set("X-Start-Within", "5s")
	if r.kind == idempotentPlainService {
		req.Header.Set("Idempotency-Key", "key-"+r.prompt)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r.body = string(data)
	r.outcome = resp.Header.Get("X-Outcome")
	if err != nil {
		r.outcome = "broken"
	}
	return r
}

func sortNames(names []string) { sort.Strings(names) }

func splitList(s string) []string { return strings.Fields(s) }
