package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	Order        string `json:"order"` // load or unload
	Adapter      string `json:"adapter"`
	FencingToken uint64 `json:"fence"`
}

// engineState is the body of GET /v1/state.
type engineState struct {
	BootID       uint64   `json:"boot"`
	FencingToken uint64   `json:"fence"`
	Slots        int      `json:"slots"`
	Running      int      `json:"running"`
	Loaded       []string `json:"loaded"`
}

// order handles POST /v1/orders.
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

// acceptOrder checks an order's fencing token against the highest one received,
// which it updates, and returns an HTTP status: 200 if the order may be executed,
// 412 if the token is stale, 503 while the engine restarts.
func (e *engine) acceptOrder(o engineOrder, now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isUp(now) {
		return 503
	}
	if e.opts.refusesStaleOrders && o.FencingToken < e.fencingToken {
		return 412
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	return 200
}

// load loads an adapter and returns the HTTP status: 507 if the maximum number of
// adapters is loaded, 502 if the transfer failed or the engine restarted meanwhile.
func (e *engine) load(ctx context.Context, adapter string) int {
	e.mu.Lock()
	bootID := e.bootID
	failed := e.loadsToFail > 0
	if failed {
		e.loadsToFail--
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
	if e.bootID != bootID || (len(e.loaded) >= e.opts.adapters && !e.loaded[adapter]) {
		return 502
	}
	e.loaded[adapter] = true
	e.appendJournal("", adapter, "", "loaded")
	return 200
}

func (e *engine) unload(adapter string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loaded, adapter)
	e.appendJournal("", adapter, "", "unloaded")
	return 200
}

// state handles GET /v1/state.
func (e *engine) state(_ context.Context, rc *app.RequestContext) {
	e.mu.Lock()
	s := engineState{BootID: e.bootID, FencingToken: e.fencingToken, Slots: e.opts.slots, Running: len(e.batchSlots), Loaded: e.loadedNames()}
	up := e.isUp(time.Now())
	e.mu.Unlock()
	if !up {
		rc.AbortWithStatus(503)
		return
	}
	if e.opts.reportDelay > 0 {
		time.Sleep(e.opts.reportDelay) // makes the report stale on arrival
	}
	rc.JSON(200, s)
}

// serveJournal handles GET /admin/journal.
func (e *engine) serveJournal(_ context.Context, rc *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rc.JSON(200, e.journal)
}

// serveRestart handles POST /admin/restart.
func (e *engine) serveRestart(_ context.Context, rc *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart(time.Now())
	rc.String(200, "ok\n")
}

// serveEndStreams handles POST /admin/end_streams. Streams that start after the
// call end after the given number of tokens with a complete HTTP response but
// without their last event.
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
	e.truncateAfter = o.After
	rc.String(200, "ok\n")
}

// serveFailLoads handles POST /admin/fail_loads, which makes the given number of
// next loads fail.
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
	e.loadsToFail = o.Count
	rc.String(200, "ok\n")
}
