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

// Version is the version of an object. Versions increase with every change of any
// object of the API. Zero means that the object does not exist.
type Version uint64

// ObjectKind is the kind of an object.
type ObjectKind string

// Kinds of the objects that the system stores.
const (
	Roots    ObjectKind = "roots"    // root of the accepted configuration
	Sections ObjectKind = "sections" // immutable configuration sections, named by digest
	Targets  ObjectKind = "targets"  // registrations of targets
	Claims   ObjectKind = "claims"   // claims to run non-idempotent requests
	Suspects ObjectKind = "suspects" // requests that were in flight at a crash
)

// RootName is the name of the only object of kind Roots.
const RootName = "root"

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

const versionHeader = "X-Object-Version"

// Object is one version of an object.
type Object struct {
	Name    string
	Version Version
	Value   []byte
	Deleted bool // set in results of Watch only
}

// Client is a client of the object API. Its methods are safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	purpose Purpose
	budget  *Budget // nil if calls are not limited
	scope   tally.Scope

	responded *atomic.Bool // whether any call got a response; shared by the clients that WithPurpose returns
}

// maxResponseBytes limits a response: a list of 64 objects of the maximum size, or
// of many more of the usual size of less than 1 KiB.
const maxResponseBytes = 64 << 20

// MaxHeaderBytes limits the header of a response, which has a few hundred bytes.
const MaxHeaderBytes = 64 << 10

// New returns a client of the API at addr without a budget or metrics. Calls are
// made with httpClient.
func New(addr netip.AddrPort, httpClient *http.Client) *Client {
	return NewMetered(addr, httpClient, nil, tally.NoopScope)
}

// NewMetered returns a client whose calls are limited by budget, unless it is nil,
// and counted in scope by purpose, operation and result.
func NewMetered(addr netip.AddrPort, httpClient *http.Client, budget *Budget, scope tally.Scope) *Client {
	return &Client{
		baseURL:   "http://" + addr.String(),
		http:      httpClient,
		purpose:   unspecified,
		budget:    budget,
		scope:     scope,
		responded: &atomic.Bool{},
	}
}

// Answered reports whether the API has responded to any call of this client or
// of a client derived from it with WithPurpose. Only successful responses and
// those that report an object as missing or a conflict count.
func (c *Client) Answered() bool { return c.responded.Load() }

// Get returns an object. The error is of kind NotFound when it does not exist.
func (c *Client) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	resp, err := c.do(ctx, "get", http.MethodGet, c.objectURL(kind, name), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Version: resp.version, Value: resp.body}, nil
}

// Put writes an object if its version is still expect, and returns its new
// version. If expect is zero, the object must not exist yet. The error is of kind
// Conflict when the version differs, and of kind Uncertain when the write may
// have taken effect although no valid response was received. Put panics if value
// is larger than MaxValueBytes.
func (c *Client) Put(ctx context.Context, kind ObjectKind, name string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		panic("objects: value larger than MaxValueBytes")
	}
	resp, err := c.do(ctx, "put", http.MethodPut, c.objectURL(kind, name), value, &expect)
	return resp.version, err
}

// Delete deletes an object if its version is still expect. Its errors of
// kinds Conflict and Uncertain are those of Put.
func (c *Client) Delete(ctx context.Context, kind ObjectKind, name string, expect Version) error {
	_, err := c.do(ctx, "delete", http.MethodDelete, c.objectURL(kind, name), nil, &expect)
	return err
}

// List returns all objects of a kind and the version of the newest change that
// the list contains. The error is of kind Unavailable if there is no valid
// response.
func (c *Client) List(ctx context.Context, kind ObjectKind) ([]Object, Version, error) {
	resp, err := c.do(ctx, "list", http.MethodGet, c.baseURL+"/v1/objects/"+string(kind), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	return decodeList(resp.body)
}

// Watch waits for up to wait for changes to objects of a kind after a version. It
// returns them with the version of the newest one. An empty result means that
// nothing changed. The errors are those of List.
func (c *Client) Watch(ctx context.Context, kind ObjectKind, after Version, wait time.Duration) ([]Object, Version, error) {
	q := url.Values{}
	q.Set("kind", string(kind))
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := c.do(ctx, "watch", http.MethodGet, c.baseURL+"/v1/watch?"+q.Encode(), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	return decodeList(resp.body)
}

func (c *Client) objectURL(kind ObjectKind, name string) string {
	u := url.URL{Path: "/v1/objects/" + string(kind) + "/" + name}
	return c.baseURL + u.EscapedPath()
}

type response struct {
	version Version
	body    []byte
}

// do makes one call, limited by the budget, and counts it. A non-nil expect makes
// it a conditional write.
func (c *Client) do(ctx context.Context, op, method, requestURL string, body []byte, expect *Version) (response, error) {
	if c.budget != nil {
		if err := c.budget.acquire(ctx, c.purpose, expect != nil); err != nil {
			c.count(op, "not_made")
			return response{}, err
		}
	}
	resp, err := c.call(ctx, op, method, requestURL, body, expect)
	c.count(op, resultName(err))
	if err == nil || IsKind(err, NotFound) || IsKind(err, Conflict) {
		c.responded.Store(true)
	}
	return resp, err
}

func (c *Client) count(op, result string) {
	tags := map[string]string{"purpose": string(c.purpose), "operation": op, "result": result}
	c.scope.Tagged(tags).Counter("store_calls").Inc(1)
}

// resultName returns the value of the metric label result for a call.
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

// call makes one call. For a write, a missing or invalid response is an error of
// kind Uncertain, otherwise of kind Unavailable.
func (c *Client) call(ctx context.Context, op, method, requestURL string, body []byte, expect *Version) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return response{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	noResponse := Unavailable
	if expect != nil {
		req.Header.Set("If-Version", strconv.FormatUint(uint64(*expect), 10))
		noResponse = Uncertain
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, &Error{Op: op, Kind: noResponse, Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body was read or is abandoned
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, &Error{Op: op, Kind: noResponse, Err: err}
	}
	if kind, failed := errorKindOf(resp.StatusCode, noResponse); failed {
		return response{}, &Error{Op: op, Kind: kind}
	}
	version, err := strconv.ParseUint(resp.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return response{}, &Error{Op: op, Kind: noResponse, Err: err}
	}
	return response{version: Version(version), body: data}, nil
}

// errorKindOf returns the error kind of a response's status and whether the status
// is an error. noResponse is the kind for unexpected statuses.
func errorKindOf(status int, noResponse Kind) (Kind, bool) {
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
	return noResponse, true
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
