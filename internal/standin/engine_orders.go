package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	Order   string `json:"order"` // load or unload
	Adapter string `json:"adapter"`
	Fence   uint64 `json:"fence"`
}

// engineState is the body of GET /v1/state.
type engineState struct {
	Boot    uint64   `json:"boot"`
	Fence   uint64   `json:"fence"`
	Slots   int      `json:"slots"`
	Running int      `json:"running"`
	Loaded  []string `json:"loaded"`
}

func (e *engine) order(ctx context.Context, rc *app.RequestContext) {
	var o engineOrder
	if err := json.Unmarshal(rc.Request.Body(), &o); err != nil {
		rc.String(400, err.Error())
		return
	}
	if status := e.acceptOrder(o, time.Now()); status != 200 {
		rc.AbortWithStatus(status)
		return
	}
	if o.Order == "load" {
		rc.SetStatusCode(e.load(ctx, o.Adapter))
		return
	}
	rc.SetStatusCode(e.unload(o.Adapter))
}

// acceptOrder checks an order's fencing number and returns an HTTP status.
func (e *engine) acceptOrder(o engineOrder, now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up(now) {
		return 503
	}
	if e.opts.obeysFence && o.Fence < e.fence {
		return 412
	}
	e.fence = max(e.fence, o.Fence)
	return 200
}

func (e *engine) load(ctx context.Context, adapter string) int {
	e.mu.Lock()
	boot := e.boot
	failed := e.failLoad > 0
	if failed {
		e.failLoad--
	}
	full := len(e.loaded) >= e.opts.adapters && !e.loaded[adapter]
	e.mu.Unlock()
	if full {
		return 507
	}
	if failed || e.fetchWeights(ctx, adapter) != nil {
		return 502
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot || (len(e.loaded) >= e.opts.adapters && !e.loaded[adapter]) {
		return 502
	}
	e.loaded[adapter] = true
	e.note("", adapter, "", "loaded")
	return 200
}

func (e *engine) unload(adapter string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loaded, adapter)
	e.note("", adapter, "", "unloaded")
	return 200
}

func (e *engine) state(_ context.Context, rc *app.RequestContext) {
	e.mu.Lock()
	s := engineState{Boot: e.boot, Fence: e.fence, Slots: e.opts.slots, Running: len(e.batch), Loaded: e.loadedNames()}
	up := e.up(time.Now())
	e.mu.Unlock()
	if !up {
		rc.AbortWithStatus(503)
		return
	}
	if e.opts.loadLag > 0 {
		time.Sleep(e.opts.loadLag) // the report is old when it arrives
	}
	rc.JSON(200, s)
}

func (e *engine) serveJournal(_ context.Context, rc *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rc.JSON(200, e.journal)
}

func (e *engine) serveRestart(_ context.Context, rc *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart(time.Now())
	rc.String(200, "ok\n")
}

// serveEndStreams handles POST /admin/end_streams: streams that start from now
// on end in good order after so many tokens, but without their last event.
func (e *engine) serveEndStreams(_ context.Context, rc *app.RequestContext) {
	var o struct {
		After int `json:"after"`
	}
	if err := json.Unmarshal(rc.Request.Body(), &o); err != nil {
		rc.String(400, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endAfter = o.After
	rc.String(200, "ok\n")
}

func (e *engine) serveFailLoads(_ context.Context, rc *app.RequestContext) {
	var o struct {
		Count int `json:"count"`
	}
	if err := json.Unmarshal(rc.Request.Body(), &o); err != nil {
		rc.String(400, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failLoad = o.Count
	rc.String(200, "ok\n")
}
