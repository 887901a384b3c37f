package standin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
)

// engineOptions are the properties of one simulated engine.
type engineOptions struct {
	weights            string        // address of the weight store; if empty, a load takes adapterLoadTime
	slots              int           // maximum number of requests in a batch
	adapters           int           // maximum number of loaded adapters
	tokenInterval      time.Duration // time between two tokens of a request
	refusesStaleOrders bool          // rejects orders with a stale fencing token
	reportDelay        time.Duration // time between reading the state and sending the report
	restartTime        time.Duration // duration of a restart
	crashWord          string        // a prompt that contains this word crashes the engine; empty for none
	defaultTokens      int           // length of a response if the request sets no max_tokens
}

// engine simulates a model engine with continuous batching.
type engine struct {
	opts engineOptions
	http *http.Client

	mu            sync.Mutex
	bootID        uint64 // incremented at each restart
	downUntil     time.Time
	fencingToken  uint64 // highest one received in an order
	loaded        map[string]bool
	runs          map[string]*engineRun // by request id
	batchSlots    chan struct{}         // semaphore with one element per running request
	journal       []engineJournalEntry
	loadsToFail   int // number of loads that fail, from the next one on
	truncateAfter int // number of tokens after which a stream ends without its last event; 0 for never
	faults        *faultInjector
}

// engineJournalEntry is one event of the journal, which scenarios check through
// GET /admin/journal.
type engineJournalEntry struct {
	RequestID string `json:"request_id"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	Event     string `json:"event"` // started, finished, cancelled, crashed, loaded, unloaded
}

// engineRun is one request that the engine queues or runs.
type engineRun struct {
	cancel  context.CancelFunc
	crashed bool // the engine restarted while it ran
}

func newEngine(opts engineOptions) *engine {
	return &engine{
		opts:       opts,
		http:       &http.Client{},
		bootID:     1,
		loaded:     map[string]bool{},
		runs:       map[string]*engineRun{},
		batchSlots: make(chan struct{}, opts.slots),
		faults:     newFaultInjector(),
	}
}

// register adds the engine's routes to h.
func (e *engine) register(h *server.Hertz) {
	h.Use(e.faults.middleware)
	h.POST("/v1/completions", e.complete)
	h.POST("/v1/chat/completions", e.complete)
	h.DELETE("/v1/requests/:id", e.cancelRequest)
	h.POST("/v1/orders", e.order)
	h.GET("/v1/state", e.state)
	h.GET("/admin/journal", e.serveJournal)
	h.POST("/admin/restart", e.serveRestart)
	h.POST("/admin/fail_loads", e.serveFailLoads)
	h.POST("/admin/end_streams", e.serveEndStreams)
	h.POST("/admin/fault", e.faults.serveFault)
}

// appendJournal adds an event to the journal. The caller holds e.mu.
func (e *engine) appendJournal(id, adapter, prompt, event string) {
	e.journal = append(e.journal, engineJournalEntry{RequestID: id, Adapter: adapter, Prompt: prompt, Event: event})
}

// restart simulates a restart that unloads all adapters and aborts all requests.
// The caller holds e.mu.
func (e *engine) restart(now time.Time) {
	e.bootID++
	e.downUntil = now.Add(e.opts.restartTime)
	e.loaded = map[string]bool{}
	for id, r := range e.runs {
		r.crashed = true
		r.cancel()
		e.appendJournal(id, "", "", "crashed")
	}
}

// isUp reports whether the engine is not restarting at time now. The caller holds
// e.mu.
func (e *engine) isUp(now time.Time) bool { return !now.Before(e.downUntil) }

func (e *engine) loadedNames() []string {
	out := []string{}
	for name := range e.loaded {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// fetchWeights downloads an adapter from the weight store.
func (e *engine) fetchWeights(ctx context.Context, adapter string) error {
	if e.opts.weights == "" {
		time.Sleep(adapterLoadTime)
		return nil
	}
	url := "http://" + e.opts.weights + "/v1/weights/" + adapter
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // only the status matters
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("standin: weight store returned status %d", resp.StatusCode)
	}
	return nil
}
