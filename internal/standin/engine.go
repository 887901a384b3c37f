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

// engineOptions are the properties of one engine stand-in.
type engineOptions struct {
	weights       string        // address of the weight store
	slots         int           // requests run at once
	adapters      int           // adapters held at once
	tokenTime     time.Duration // between two tokens of one request
	obeysFence    bool          // refuses orders with an old fencing number
	loadLag       time.Duration // age of the load report
	restartTime   time.Duration // how long a restart takes
	poison        string        // a prompt with this word crashes the engine
	defaultTokens int
}

// engine is the stand-in of a model engine that batches continuously.
type engine struct {
	opts engineOptions
	http *http.Client

	mu       sync.Mutex
	boot     uint64 // grows at each restart
	downTil  time.Time
	fence    uint64
	loaded   map[string]bool
	runs     map[string]*engineRun // by request id
	batch    chan struct{}         // one token a running request
	journal  []engineEntry
	failLoad int // loads to fail from now on
	endAfter int // tokens after which streams end without their last event, zero for never
	faults   *faults
}

// engineEntry is one line of the journal that scenarios check.
type engineEntry struct {
	RequestID string `json:"request_id"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	Event     string `json:"event"` // started, finished, cancelled, crashed, loaded, unloaded
}

// engineRun is one request that the engine runs or ran.
type engineRun struct {
	cancel context.CancelFunc
	lost   bool // the engine restarted under it
}

func newEngine(opts engineOptions) *engine {
	return &engine{
		opts:   opts,
		http:   &http.Client{},
		boot:   1,
		loaded: map[string]bool{},
		runs:   map[string]*engineRun{},
		batch:  make(chan struct{}, opts.slots),
		faults: newFaults(),
	}
}

// register adds the engine's routes to h.
func (e *engine) register(h *server.Hertz) {
	h.Use(e.faults.filter)
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

// note appends to the journal. The caller holds e.mu.
func (e *engine) note(id, adapter, prompt, event string) {
	e.journal = append(e.journal, engineEntry{RequestID: id, Adapter: adapter, Prompt: prompt, Event: event})
}

// restart loses all adapters and all running requests. The caller holds e.mu.
func (e *engine) restart(now time.Time) {
	e.boot++
	e.downTil = now.Add(e.opts.restartTime)
	e.loaded = map[string]bool{}
	for id, r := range e.runs {
		r.lost = true
		r.cancel()
		e.note(id, "", "", "crashed")
	}
}

// up reports whether the engine serves. The caller holds e.mu.
func (e *engine) up(now time.Time) bool { return !now.Before(e.downTil) }

func (e *engine) loadedNames() []string {
	out := []string{}
	for name := range e.loaded {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// fetchWeights transfers an adapter from the weight store.
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
		return fmt.Errorf("standin: weight store answered %d", resp.StatusCode)
	}
	return nil
}
