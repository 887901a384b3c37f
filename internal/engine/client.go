package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"

	"github.com/borageusher/borageusher/internal/checkedhttp"
	"github.com/borageusher/borageusher/pkg/adapter"
)

// Request is a request to run at the engine or service.
type Request struct {
	ID           string
	Method       string
	Path         string // including the query
	ContentType  string
	Body         []byte
	NeedsAdapter bool // the request is a completion, which an engine refuses if its adapter is not resident
}

// Response is the response to a Request. The caller reads Body and must close it.
type Response struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// State is the state reported by an engine. It may be stale.
type State struct {
	BootID       uint64   // identifies the start of the engine: it differs after a restart
	FencingToken uint64   // highest fencing token that the engine has seen, zero if not reported
	Running      int      // requests in progress
	Loaded       []string // names of the resident adapters
}

// maxHeaderBytes limits the header of a response, which has a few hundred bytes. Short
// header lines take many times their length in memory.
const maxHeaderBytes = 64 << 10

// Client is an HTTP client for one engine or plain service. It is safe for
// concurrent use.
type Client struct {
	baseURL string
	epoch   uint64
	http    *http.Client
	runs    *http.Client // uses a new connection for each request
}

// New returns a client of the engine or plain service at addr. Load and unload
// orders carry epoch, the number of the targetd's registration, as their fencing
// token.
func New(addr netip.AddrPort, epoch uint64) *Client {
	return &Client{
		baseURL: "http://" + addr.String(),
		epoch:   epoch,
		http:    checkedhttp.New(&http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}),
		runs:    checkedhttp.New(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}),
	}
}

// Load orders the engine to load an adapter and waits for completion. The error is
// of kind Fenced if the engine has seen a higher fencing token, Unavailable if it
// accepts no orders at present, Refused if it rejected the order for another
// reason, and Uncertain if the order may have taken effect.
func (c *Client) Load(ctx context.Context, id adapter.ID) error {
	return c.sendOrder(ctx, "load", id)
}

// Unload orders the engine to unload an adapter and waits for completion. Its
// errors are those of Load.
func (c *Client) Unload(ctx context.Context, id adapter.ID) error {
	return c.sendOrder(ctx, "unload", id)
}

// orderWire is the JSON body of an order.
type orderWire struct {
	Order        string `json:"order"`
	Adapter      string `json:"adapter"`
	FencingToken uint64 `json:"fence"`
}

// sendOrder sends an order and maps the status of the response to an error.
func (c *Client) sendOrder(ctx context.Context, order string, id adapter.ID) error {
	body, err := json.Marshal(orderWire{Order: order, Adapter: id.String(), FencingToken: c.epoch})
	if err != nil {
		panic("engine: cannot encode an order: " + err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return &Error{Op: order, Kind: Refused, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: order, Kind: Uncertain, Err: err}
	}
	_ = resp.Body.Close() // only the status matters
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return &Error{Op: order, Kind: Fenced, Status: resp.StatusCode}
	case http.StatusServiceUnavailable:
		return &Error{Op: order, Kind: Unavailable, Status: resp.StatusCode}
	}
	if resp.StatusCode < 400 { // neither an acceptance nor a rejection
		return &Error{Op: order, Kind: Uncertain, Status: resp.StatusCode}
	}
	return &Error{Op: order, Kind: Refused, Status: resp.StatusCode}
}

// maxStateBytes is the maximum size of a state response.
const maxStateBytes = 1 << 20

// stateWire is the JSON body of a state response. Its fields are those of State.
type stateWire struct {
	BootID       uint64   `json:"boot"`
	FencingToken uint64   `json:"fence"`
	Running      int      `json:"running"`
	Loaded       []string `json:"loaded"`
}

// State returns the state that the engine reports. The error is of kind Refused if
// the response's status is not 200, and Uncertain if there is no valid response.
func (c *Client) State(ctx context.Context) (State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/state", nil)
	if err != nil {
		return State{}, &Error{Op: "state", Kind: Refused, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return State{}, &Error{Op: "state", Kind: Uncertain, Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	if resp.StatusCode != http.StatusOK {
		return State{}, &Error{Op: "state", Kind: Refused, Status: resp.StatusCode}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return State{}, &Error{Op: "state", Kind: Uncertain, Err: err}
	}
	return decodeState(b)
}

// decodeState decodes the body of a state response.
func decodeState(b []byte) (State, error) {
	var w stateWire
	if err := json.Unmarshal(b, &w); err != nil {
		return State{}, &Error{Op: "state", Kind: Uncertain, Err: err}
	}
	return State(w), nil
}

// Run sends a request and returns when the headers of the response have arrived. The
// error is of kind NotStarted if the request certainly did not run, NotResident if
// it did not run because its adapter is not resident, and Uncertain if it may have
// run. Ending ctx aborts the request and the reading of the body. Responses don't name
// their request, so that each request has its own connection, on which no earlier
// response can arrive.
func (c *Client) Run(ctx context.Context, r Request) (*Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, c.baseURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &Error{Op: "run", Kind: NotStarted, Err: err}
	}
	req.GetBody = nil // prevents net/http from resending the request over another connection
	req.Header.Set("X-Request-Id", r.ID)
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	resp, err := c.runs.Do(req)
	if err != nil {
		kind := Uncertain
		if !connected {
			kind = NotStarted
		}
		return nil, &Error{Op: "run", Kind: kind, Err: err}
	}
	if kind, refused := refusalKind(r, resp.StatusCode); refused {
		_ = resp.Body.Close() // only the status matters
		return nil, &Error{Op: "run", Kind: kind, Status: resp.StatusCode}
	}
	return &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}, nil
}

// refusalKind returns the error kind of a status with which an engine refuses a
// completion before running it, and whether the status is one. Every response of a
// plain service is passed to the caller.
func refusalKind(r Request, status int) (Kind, bool) {
	if !r.NeedsAdapter {
		return 0, false
	}
	switch status {
	case http.StatusConflict:
		return NotResident, true
	case http.StatusServiceUnavailable:
		return NotStarted, true
	}
	return 0, false
}

// Cancel asks the engine to stop a request. It ignores the status of the response.
// The error is of kind Uncertain if there is no response.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.baseURL+"/v1/requests/"+requestID, nil)
	if err != nil {
		return &Error{Op: "cancel", Kind: Refused, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: "cancel", Kind: Uncertain, Err: err}
	}
	_ = resp.Body.Close() // only the status matters
	return nil
}
