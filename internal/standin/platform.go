package standin

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// versionHeader is the response header with an object's version or, for a list,
// the version of the store.
const versionHeader = "X-Object-Version"

// maxValueBytes is the maximum size of an object's value.
const maxValueBytes = 1 << 20

// storedObject is the latest version of an object, or its tombstone.
type storedObject struct {
	version uint64 // platform.version at the last write
	value   []byte
	deleted bool
}

// platform simulates the object API and the VM list.
type platform struct {
	mu      sync.Mutex
	changed chan struct{}                       // closed and replaced at each write
	version uint64                              // incremented at each write
	objects map[string]map[string]*storedObject // by kind, then name
	vms     map[string]string                   // state by address
	copied  *storeCopy                          // nil until one is taken
	faults  *faultInjector
}

func newPlatform() *platform {
	return &platform{
		changed: make(chan struct{}),
		objects: map[string]map[string]*storedObject{},
		vms:     map[string]string{},
		faults:  newFaultInjector(),
	}
}

// register adds the platform's routes to h.
func (p *platform) register(h *server.Hertz) {
	h.Use(p.faults.middleware)
	h.GET("/v1/objects/:kind", p.list)
	h.GET("/v1/objects/:kind/*name", p.get)
	h.PUT("/v1/objects/:kind/*name", p.put)
	h.DELETE("/v1/objects/:kind/*name", p.remove)
	h.GET("/v1/watch", p.watch)
	h.GET("/v1/vms", p.listVMs)
	h.POST("/admin/vms", p.setVM)
	h.POST("/admin/copy", p.takeCopy)
	h.POST("/admin/restore", p.restoreCopy)
	h.POST("/admin/fault", p.faults.serveFault)
	h.GET("/admin/calls", p.faults.serveCalls)
}

func objectName(rc *app.RequestContext) string {
	return strings.TrimPrefix(rc.Param("name"), "/")
}

// get handles GET /v1/objects/:kind/*name. The status is 404 if there is no such
// object.
func (p *platform) get(_ context.Context, rc *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[rc.Param("kind")][objectName(rc)]
	if o == nil || o.deleted {
		rc.AbortWithStatus(404)
		return
	}
	rc.Header(versionHeader, strconv.FormatUint(o.version, 10))
	rc.Data(200, "application/octet-stream", o.value)
}

// put handles PUT /v1/objects/:kind/*name. The status is 413 if the value is longer
// than maxValueBytes, or that of write.
func (p *platform) put(_ context.Context, rc *app.RequestContext) {
	if len(rc.Request.Body()) > maxValueBytes {
		rc.AbortWithStatus(413)
		return
	}
	value := append([]byte(nil), rc.Request.Body()...)
	p.write(rc, value, false)
}

// remove handles DELETE /v1/objects/:kind/*name. The status is that of write.
func (p *platform) remove(_ context.Context, rc *app.RequestContext) {
	p.write(rc, nil, true)
}

// write replaces or deletes an object if its version equals the If-Version
// header, which is 0 for an object that does not exist. The status is 409 if the
// versions differ, and 400 if the header is missing or malformed.
func (p *platform) write(rc *app.RequestContext, value []byte, deleted bool) {
	expect, err := strconv.ParseUint(string(rc.GetHeader("If-Version")), 10, 64)
	if err != nil {
		rc.String(400, "If-Version is missing")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, name := rc.Param("kind"), objectName(rc)
	if p.liveVersion(kind, name) != expect {
		rc.AbortWithStatus(409)
		return
	}
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]*storedObject{}
	}
	p.version++
	p.objects[kind][name] = &storedObject{version: p.version, value: value, deleted: deleted}
	close(p.changed)
	p.changed = make(chan struct{})
	rc.Header(versionHeader, strconv.FormatUint(p.version, 10))
	rc.SetStatusCode(200)
}

// liveVersion returns an object's version, or 0 if it does not exist or was
// deleted. The caller holds p.mu.
func (p *platform) liveVersion(kind, name string) uint64 {
	o := p.objects[kind][name]
	if o == nil || o.deleted {
		return 0
	}
	return o.version
}

// list handles GET /v1/objects/:kind.
func (p *platform) list(_ context.Context, rc *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeList(rc, p.changesSince(rc.Param("kind"), 0, false))
}

type objectJSON struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type listJSON struct {
	Version uint64       `json:"version"`
	Objects []objectJSON `json:"objects"`
}

// changesSince returns the objects of a kind that changed after a version, in
// order of version. The caller holds p.mu.
func (p *platform) changesSince(kind string, after uint64, withDeleted bool) []objectJSON {
	out := []objectJSON{}
	for name, o := range p.objects[kind] {
		if o.version <= after || (o.deleted && !withDeleted) {
			continue
		}
		out = append(out, objectJSON{Name: name, Version: o.version, Value: o.value, Deleted: o.deleted})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

func (p *platform) writeList(rc *app.RequestContext, objects []objectJSON) {
	rc.Header(versionHeader, strconv.FormatUint(p.version, 10))
	rc.JSON(200, listJSON{Version: p.version, Objects: objects})
}

// watch handles GET /v1/watch. It returns the changes of a kind after a version,
// or waits up to wait_ms milliseconds for one.
func (p *platform) watch(ctx context.Context, rc *app.RequestContext) {
	after, err := strconv.ParseUint(rc.Query("after"), 10, 64)
	if err != nil {
		rc.String(400, "after is missing")
		return
	}
	waitMS, err := strconv.Atoi(rc.Query("wait_ms"))
	if err != nil {
		rc.String(400, "wait_ms is missing")
		return
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		objects := p.changesSince(rc.Query("kind"), after, true)
		changed := p.changed
		if len(objects) > 0 {
			p.writeList(rc, objects)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			p.mu.Lock()
			p.writeList(rc, p.changesSince(rc.Query("kind"), after, true))
			p.mu.Unlock()
			return
		case <-ctx.Done():
			return
		}
	}
}

type vmJSON struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// listVMs handles GET /v1/vms.
func (p *platform) listVMs(_ context.Context, rc *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []vmJSON{}
	for a, s := range p.vms {
		out = append(out, vmJSON{Address: a, State: s})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	rc.Header(versionHeader, strconv.FormatUint(p.version, 10))
	rc.JSON(200, out)
}

// setVM handles POST /admin/vms. It sets the state of one VM, or removes the VM if
// the state is empty.
func (p *platform) setVM(_ context.Context, rc *app.RequestContext) {
	var vm vmJSON
	if err := json.Unmarshal(rc.Request.Body(), &vm); err != nil {
		rc.String(400, err.Error())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm.State == "" {
		delete(p.vms, vm.Address)
	} else {
		p.vms[vm.Address] = vm.State
	}
	rc.String(200, "ok\n")
}
