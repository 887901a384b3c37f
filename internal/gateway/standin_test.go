package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// testDialect uses plain header names.
type testDialect struct{}

func (testDialect) Request(h http.Header) Meta {
	m := Meta{ID: h.Get("Id"), Model: h.Get("Model"), Adapter: h.Get("Adapter")}
	if ms, err := strconv.Atoi(h.Get("Deadline")); err == nil {
		m.Deadline = time.Duration(ms) * time.Millisecond
	}
	return m
}

func (testDialect) Forward(h http.Header, a Attempt) http.Header {
	out := http.Header{"Id": h["Id"], "Instance": {a.Instance}, "Left": {strconv.FormatInt(a.Left.Milliseconds(), 10)}}
	if a.LastEvent != "" {
		out["Last-Event"] = []string{a.LastEvent}
	}
	return out
}

func (testDialect) Answer(_ int, h http.Header) AnswerMeta {
	return AnswerMeta{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Encoded: h.Get("Content-Encoding") != ""}
}

func (testDialect) Back(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	out.Del("Transfer-Encoding")
	out.Del("Connection")
	return out
}

func (testDialect) RequestID(h http.Header) string { return h.Get("Id") }

func (testDialect) Refusal(h http.Header, id string, after time.Duration) {
	h.Set("Id", id)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
}

// standInTarget runs requests by a script: each request takes the next step, the
// last one again and again.
type standInTarget struct {
	id   string
	addr netip.AddrPort

	mu    sync.Mutex
	steps []step
	seen  []*http.Request
	gone  atomic.Int32 // requests whose connection ended before their answer
}

// step writes an answer. It returns false to end the connection.
type step func(c net.Conn, r *http.Request) bool

func newTarget(t *testing.T, id string, steps ...step) *standInTarget {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &standInTarget{id: id, addr: netip.MustParseAddrPort(ln.Addr().String()), steps: steps}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *standInTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		do := s.steps[0]
		if len(s.steps) > 1 {
			s.steps = s.steps[1:]
		}
		s.seen = append(s.seen, r)
		s.mu.Unlock()
		if !do(c, r) {
			return
		}
	}
}

func (s *standInTarget) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.seen...)
}

// answers returns a step that answers as a target does.
func answers(status int, body string, headers ...string) step {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nContent-Length: %d\r\n", status, r.Header.Get("Id"), len(body))
		for _, h := range headers {
			_, _ = fmt.Fprintf(c, "%s\r\n", h)
		}
		_, _ = fmt.Fprintf(c, "\r\n%s", body)
		return true
	}
}

const signed = "Signed: yes"

// breaks ends the connection after the given bytes, with a reset.
func breaks(text string) step {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, text)
		time.Sleep(20 * time.Millisecond) // a reset drops what was not read yet
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// hangs answers nothing until the other side closes.
func (s *standInTarget) hangs() step {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		s.gone.Add(1)
		return false
	}
}

// streams sends events from..to in chunks, then ends the stream if complete, or
// resets the connection in the middle of an event.
func streams(from, to int, complete bool) step {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: run-%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), from)
		for i := from; i <= to; i++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		}
		chunk(c, fmt.Sprintf("id: %d\ndata: half", to+1))
		time.Sleep(20 * time.Millisecond) // a reset drops what was not read yet
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// slowStream sends n events, each after a pause, and ends the stream.
func slowStream(c net.Conn, r *http.Request, n int, pause time.Duration) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	for i := range n {
		time.Sleep(pause)
		chunk(c, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1))
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return true
}

func chunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// events returns what a caller gets of a stream.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// testRoutes has a route of each kind, by path.
func testRoutes() []routing.Route {
	shares := []routing.Share{{Service: "s", Weight: 1}}
	base := routing.Route{Host: "h", Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2, Shares: shares}
	safe, unsafe, stream, once, patient := base, base, base, base, base
	safe.Name, safe.Prefix, safe.Kind = "safe", "/safe/", routing.Safe
	unsafe.Name, unsafe.Prefix, unsafe.Kind = "unsafe", "/unsafe/", routing.Unsafe
	stream.Name, stream.Prefix, stream.Kind, stream.Resumable = "stream", "/stream/", routing.Stream, true
	once.Name, once.Prefix, once.Kind = "once", "/once/", routing.Stream
	patient.Name, patient.Prefix, patient.Kind = "patient", "/patient/", routing.Stream
	patient.Timeout, patient.Objective = 4*time.Second, time.Second
	return []routing.Route{safe, unsafe, stream, once, patient}
}

// world is a gateway before some targets.
type world struct {
	gateway *Gateway
	fleet   *Fleet
	crashes *crashes
	reports []peer.CrashReport
	log     *bytes.Buffer
	logMu   sync.Mutex
	server  *httptest.Server
}

// lockedWriter lets the log be read while the gateway runs.
type lockedWriter struct{ w *world }

func (l lockedWriter) Write(p []byte) (int, error) {
	l.w.logMu.Lock()
	defer l.w.logMu.Unlock()
	return l.w.log.Write(p)
}

func newWorld(t *testing.T, targets ...*standInTarget) *world {
	t.Helper()
	w := &world{log: &bytes.Buffer{}}
	log := event.New(lockedWriter{w}, "entryd", "e1", zerolog.InfoLevel)
	w.fleet = NewFleet("a", "north", map[string]string{"a": "north"}, log)
	w.crashes = newCrashes(func(m peer.CrashReport) { w.reports = append(w.reports, m) }, log)
	cfg := routing.New(3, testRoutes(), []routing.Service{{Name: "s"}}, routing.Limits{BodyBytes: 1000})
	var current atomic.Pointer[routing.Configuration]
	current.Store(cfg)
	w.fleet.configure(cfg)
	w.fleet.known, w.fleet.current = true, true
	for _, s := range targets {
		w.fleet.put(time.Now(), target.Replica{ID: s.id, Service: "s", Addr: s.addr, Zone: "a", Slots: 4, State: target.Live})
	}
	w.gateway = New(Options{
		Dialect:   testDialect{},
		Fleet:     w.fleet,
		Client:    upstream.New(testDialect{}.RequestID),
		Current:   &current,
		Allowance: newAllowance(0.2, 100, 10*time.Second, time.Now()),
		Crashes:   w.crashes,
		Log:       log,
		Scope:     tally.NoopScope,
	})
	w.server = httptest.NewServer(w.gateway)
	t.Cleanup(w.server.Close)
	return w
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	cut    bool // the connection ended without a whole answer
}

// call sends a request for path as a caller does.
func (w *world) call(t *testing.T, path string, headers ...string) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return w.callWith(ctx, t, path, headers...)
}

func (w *world) callWith(ctx context.Context, t *testing.T, path string, headers ...string) reply {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "r1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return reply{cut: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), cut: err != nil}
}

// logged returns the log so far.
func (w *world) logged() string {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	return w.log.String()
}

// requestOf returns the request that a call of path makes.
func (w *world) requestOf(path string) upstream.Request {
	return upstream.Request{ID: "r1", Host: "h", URI: path}
}

// eventually reports whether ok becomes true within some seconds.
func eventually(ok func() bool) bool {
	for range 500 {
		if ok() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// testAddr returns an address that nothing listens at.
func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 1)
}
