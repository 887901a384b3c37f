package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Version is the version of an object. Versions grow over all objects of the
// API; zero stands for an object that does not exist.
type Version uint64

// ObjectKind is one of the system's own kinds of objects.
type ObjectKind string

// The kinds of objects that the system keeps.
const (
	Roots    ObjectKind = "roots"    // the accepted configuration's root
	Sections ObjectKind = "sections" // immutable sections, named by digest
	Targets  ObjectKind = "targets"  // registrations of targets
	Claims   ObjectKind = "claims"   // claims of non-idempotent requests
	Suspects ObjectKind = "suspects" // requests that were in flight at a crash
)

// RootName is the name of the only object of kind Roots.
const RootName = "root"

// MaxValueBytes is the largest value of an object.
const MaxValueBytes = 1 << 20

const versionHeader = "X-Object-Version"

// Object is one object as it was read.
type Object struct {
	Name    string
	Version Version
	Value   []byte
	Deleted bool // in answers of Watch only
}

// Client calls the object API. Its methods are safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	purpose Purpose
	budget  *Budget // nil for none
	scope   tally.Scope

	answered *atomic.Bool // shared by all views
}

// New returns a client of the API at addr that calls it with httpClient,
// without a budget or metrics.
func New(addr netip.AddrPort, httpClient *http.Client) *Client {
	return NewMetered(addr, httpClient, nil, tally.NoopScope)
}

// NewMetered returns a client whose calls keep to budget, if it is not nil,
// and are counted in scope by purpose, operation and result.
func NewMetered(addr netip.AddrPort, httpClient *http.Client, budget *Budget, scope tally.Scope) *Client {
	return &Client{
		base:     "http://" + addr.String(),
		http:     httpClient,
		purpose:  unnamed,
		budget:   budget,
		scope:    scope,
		answered: &atomic.Bool{},
	}
}

// Answered reports whether the API has answered any call of this client or of
// its views.
func (c *Client) Answered() bool { return c.answered.Load() }

// Get returns an object. The error is of kind NotFound when there is none.
func (c *Client) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	resp, err := c.do(ctx, "get", http.MethodGet, c.objectURL(kind, name), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Version: resp.version, Value: resp.body}, nil
}

// Put writes an object if its version is still expect, which is zero for an
// object that must not exist yet, and returns its new version. The error is of
// kind Conflict when the version differs and of kind Uncertain when the write
// may have taken effect although no answer came.
func (c *Client) Put(ctx context.Context, kind ObjectKind, name string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		panic("objects: value larger than MaxValueBytes")
	}
	resp, err := c.do(ctx, "put", http.MethodPut, c.objectURL(kind, name), value, &expect)
	return resp.version, err
}

// Delete removes an object if its version is still expect.
func (c *Client) Delete(ctx context.Context, kind ObjectKind, name string, expect Version) error {
	_, err := c.do(ctx, "delete", http.MethodDelete, c.objectURL(kind, name), nil, &expect)
	return err
}

// List returns all objects of a kind and the version of the newest change that
// the answer contains.
func (c *Client) List(ctx context.Context, kind ObjectKind) ([]Object, Version, error) {
	resp, err := c.do(ctx, "list", http.MethodGet, c.base+"/v1/objects/"+string(kind), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	return decodeList(resp.body)
}

// Watch waits for changes of a kind after a version, for up to wait, and
// returns them with the version of the newest one. An empty answer means that
// nothing changed.
func (c *Client) Watch(ctx context.Context, kind ObjectKind, after Version, wait time.Duration) ([]Object, Version, error) {
	q := url.Values{}
	q.Set("kind", string(kind))
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := c.do(ctx, "watch", http.MethodGet, c.base+"/v1/watch?"+q.Encode(), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	return decodeList(resp.body)
}

func (c *Client) objectURL(kind ObjectKind, name string) string {
	u := url.URL{Path: "/v1/objects/" + string(kind) + "/" + name}
	return c.base + u.EscapedPath()
}

type response struct {
	version Version
	body    []byte
}

// do makes one call within the budget and counts it.
func (c *Client) do(ctx context.Context, op, method, target string, body []byte, expect *Version) (response, error) {
	if c.budget != nil {
		if err := c.budget.wait(ctx, c.purpose, expect != nil); err != nil {
			c.count(op, "not_made")
			return response{}, err
		}
	}
	resp, err := c.call(ctx, op, method, target, body, expect)
	c.count(op, resultName(err))
	if err == nil || IsKind(err, NotFound) || IsKind(err, Conflict) {
		c.answered.Store(true)
	}
	return resp, err
}

func (c *Client) count(op, result string) {
	tags := map[string]string{"purpose": string(c.purpose), "operation": op, "result": result}
	c.scope.Tagged(tags).Counter("store_calls").Inc(1)
}

// resultName returns the name of a call's result in metrics.
func resultName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case IsKind(err, NotFound):
		return "not_found"
	case IsKind(err, Conflict):
		return "conflict"
	case IsKind(err, Uncertain):
		return "uncertain"
	}
	return "unavailable"
}

func (c *Client) call(ctx context.Context, op, method, target string, body []byte, expect *Version) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	lost := Unavailable
	if expect != nil {
		req.Header.Set("If-Version", strconv.FormatUint(uint64(*expect), 10))
		lost = Uncertain
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, &Error{Op: op, Kind: lost, Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body was read or is abandoned
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, &Error{Op: op, Kind: lost, Err: err}
	}
	if kind, failed := kindOfStatus(resp.StatusCode, lost); failed {
		return response{}, &Error{Op: op, Kind: kind}
	}
	version, err := strconv.ParseUint(resp.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return response{}, &Error{Op: op, Kind: lost, Err: err}
	}
	return response{version: Version(version), body: data}, nil
}

func kindOfStatus(status int, lost Kind) (Kind, bool) {
	switch status {
	case http.StatusOK:
		return 0, false
	case http.StatusNotFound:
		return NotFound, true
	case http.StatusConflict:
		return Conflict, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Unavailable, true
	}
	return lost, true
}

type listWire struct {
	Version uint64       `json:"version"`
	Objects []objectWire `json:"objects"`
}

type objectWire struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func decodeList(b []byte) ([]Object, Version, error) {
	var w listWire
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, 0, &Error{Op: "decode", Kind: Unavailable, Err: err}
	}
	var out []Object
	for _, o := range w.Objects {
		out = append(out, Object{Name: o.Name, Version: Version(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	return out, Version(w.Version), nil
}
