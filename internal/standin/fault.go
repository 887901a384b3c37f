package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// faultMode is a kind of injected failure.
type faultMode string

const (
	faultNone       faultMode = ""
	faultRefuse     faultMode = "refuse"      // responds with status 503 and has no effect
	faultDelay      faultMode = "delay"       // processes the request after a delay
	faultLoseAnswer faultMode = "lose_answer" // processes the request, then closes the connection
	faultSilent     faultMode = "silent"      // never responds
)

// faultSpec is the body of POST /admin/fault.
type faultSpec struct {
	Mode    faultMode `json:"mode"`
	Path    string    `json:"path"`     // prefix of the affected paths; empty for all
	Method  string    `json:"method"`   // affected method; empty for all
	Count   int       `json:"count"`    // number of affected calls; 0 for no limit
	DelayMS int       `json:"delay_ms"` // for mode delay
}

// faultInjector is the state of the middleware that injects the current fault.
type faultInjector struct {
	mu        sync.Mutex
	spec      faultSpec
	remaining int            // calls still affected, if spec.Count is set
	calls     map[string]int // number of calls by method and path prefix
}

func newFaultInjector() *faultInjector { return &faultInjector{calls: map[string]int{}} }

// nextFault counts a call and returns the fault to inject into it. The result has
// mode faultNone if the call is not affected.
func (f *faultInjector) nextFault(method, path string) faultSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[method+" "+firstSegments(path)]++
	spec := f.spec
	if spec.Mode == faultNone || !hasPrefix(path, spec.Path) || (spec.Method != "" && spec.Method != method) {
		return faultSpec{}
	}
	if spec.Count > 0 {
		if f.remaining == 0 {
			return faultSpec{}
		}
		f.remaining--
	}
	return spec
}

// middleware is the Hertz middleware that injects faults into all calls except
// those under /admin/.
func (f *faultInjector) middleware(ctx context.Context, rc *app.RequestContext) {
	path := string(rc.Path())
	if hasPrefix(path, "/admin/") {
		rc.Next(ctx)
		return
	}
	spec := f.nextFault(string(rc.Method()), path)
	switch spec.Mode {
	case faultRefuse:
		rc.AbortWithStatus(503)
	case faultDelay:
		time.Sleep(time.Duration(spec.DelayMS) * time.Millisecond)
		rc.Next(ctx)
	case faultLoseAnswer:
		rc.Next(ctx)
		_ = rc.GetConn().Close() // simulates the loss of the response
	case faultSilent:
		<-ctx.Done()
	default:
		rc.Next(ctx)
	}
}

// serveFault handles POST /admin/fault.
func (f *faultInjector) serveFault(_ context.Context, rc *app.RequestContext) {
	var spec faultSpec
	if err := json.Unmarshal(rc.Request.Body(), &spec); err != nil {
		rc.String(400, err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spec = spec
	f.remaining = spec.Count
	rc.String(200, "ok\n")
}

// serveCalls handles GET /admin/calls. It returns the number of calls so far by
// method and path prefix.
func (f *faultInjector) serveCalls(_ context.Context, rc *app.RequestContext) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rc.JSON(200, f.calls)
}

func hasPrefix(s, prefix string) bool {
	return len(s) >= len(prefix) && s[:len(prefix)] == prefix
}

// firstSegments returns the first three segments of a path, such as
// "/v1/objects/claims", or the whole path if it has fewer.
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
