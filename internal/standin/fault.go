package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// faultMode is a way in which a stand-in misbehaves.
type faultMode string

const (
	faultNone       faultMode = ""
	faultRefuse     faultMode = "refuse"      // answers 503 without an effect
	faultDelay      faultMode = "delay"       // answers late
	faultLoseAnswer faultMode = "lose_answer" // takes effect, then closes the connection
	faultSilent     faultMode = "silent"      // never answers
)

// faultOrder is the body of POST /admin/fault.
type faultOrder struct {
	Mode    faultMode `json:"mode"`
	Path    string    `json:"path"`     // prefix of the paths concerned, all when empty
	Method  string    `json:"method"`   // method concerned, all when empty
	Count   int       `json:"count"`    // number of calls concerned, all when zero
	DelayMS int       `json:"delay_ms"` // for mode delay
}

// faults is a request filter that applies the fault in force.
type faults struct {
	mu    sync.Mutex
	order faultOrder
	left  int
	calls map[string]int
}

func newFaults() *faults { return &faults{calls: map[string]int{}} }

// take returns the fault for one call and counts the call.
func (f *faults) take(method, path string) faultOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[method+" "+firstSegments(path)]++
	o := f.order
	if o.Mode == faultNone || !hasPrefix(path, o.Path) || (o.Method != "" && o.Method != method) {
		return faultOrder{}
	}
	if o.Count > 0 {
		if f.left == 0 {
			return faultOrder{}
		}
		f.left--
	}
	return o
}

// filter is the hertz middleware that applies faults to everything but /admin.
func (f *faults) filter(ctx context.Context, rc *app.RequestContext) {
	path := string(rc.Path())
	if hasPrefix(path, "/admin/") {
		rc.Next(ctx)
		return
	}
	o := f.take(string(rc.Method()), path)
	switch o.Mode {
	case faultRefuse:
		rc.AbortWithStatus(503)
	case faultDelay:
		time.Sleep(time.Duration(o.DelayMS) * time.Millisecond)
		rc.Next(ctx)
	case faultLoseAnswer:
		rc.Next(ctx)
		_ = rc.GetConn().Close() // the lost answer is the point
	case faultSilent:
		<-ctx.Done()
	default:
		rc.Next(ctx)
	}
}

// serveFault handles POST /admin/fault.
func (f *faults) serveFault(_ context.Context, rc *app.RequestContext) {
	var o faultOrder
	if err := json.Unmarshal(rc.Request.Body(), &o); err != nil {
		rc.String(400, err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = o
	f.left = o.Count
	rc.String(200, "ok\n")
}

// serveCalls handles GET /admin/calls: the calls so far by method and path.
func (f *faults) serveCalls(_ context.Context, rc *app.RequestContext) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rc.JSON(200, f.calls)
}

func hasPrefix(s, prefix string) bool {
	return len(s) >= len(prefix) && s[:len(prefix)] == prefix
}

// firstSegments returns up to three segments of a path: "/v1/objects/claims".
func firstSegments(path string) string {
	segments := 0
	for i := 1; i < len(path); i++ {
		if path[i] != '/' {
			continue
		}
		segments++
		if segments == 3 {
			return path[:i]
		}
	}
	return path
}
