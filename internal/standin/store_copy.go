package standin

import (
	"context"
	"maps"

	"github.com/cloudwego/hertz/pkg/app"
)

// storeCopy is a copy of the objects and the version of a platform.
type storeCopy struct {
	version uint64
	objects map[string]map[string]*storedObject
}

// newStoreCopy returns a copy. The stored objects are shared, because a write replaces
// them.
func newStoreCopy(version uint64, objects map[string]map[string]*storedObject) *storeCopy {
	c := &storeCopy{version: version, objects: make(map[string]map[string]*storedObject, len(objects))}
	for kind, byName := range objects {
		c.objects[kind] = maps.Clone(byName)
	}
	return c
}

// takeCopy handles POST /admin/copy.
func (p *platform) takeCopy(_ context.Context, rc *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = newStoreCopy(p.version, p.objects)
	rc.String(200, "ok\n")
}

// restoreCopy handles POST /admin/restore. The platform returns to the state of the last
// copy and gives out the versions since then again. The status is 409 without a copy.
func (p *platform) restoreCopy(_ context.Context, rc *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.copied == nil {
		rc.AbortWithStatus(409)
		return
	}
	restored := newStoreCopy(p.copied.version, p.copied.objects)
	p.version, p.objects = restored.version, restored.objects
	rc.String(200, "ok\n")
}
