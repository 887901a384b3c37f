package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// keyDecoder decodes configurations of the form "VERSION WORKSPACE:KEY ...". The list of
// workspaces is missing without any further field, and empty if the only one is "none".
type keyDecoder struct{}

func (keyDecoder) Configuration(b []byte) (*routing.Configuration, error) {
	fields := strings.Fields(string(b))
	var version int64
	if _, err := fmt.Sscan(fields[0], &version); err != nil {
		return nil, err
	}
	public := testRoutes()[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	cfg := routing.New(version, append(testRoutes(), public), []routing.Service{{Name: "s"}}, routing.Limits{BodyBytes: 1 << 20})
	var all routing.Workspaces
	if len(fields) == 1 {
		return cfg, nil
	}
	for _, f := range fields[1:] {
		if name, key, ok := strings.Cut(f, ":"); ok {
			all.Add(routing.Workspace{Name: name}, []routing.KeyDigest{routing.DigestOf(key)})
		}
	}
	cfg.SetWorkspaces(all)
	return cfg, nil
}

func (keyDecoder) Replica(string, []byte) (target.Replica, error) {
	return target.Replica{}, nil
}
func (keyDecoder) Version([]byte) (orders.Adapter, int64, error) { return orders.Adapter{}, 0, nil }

var keyBounds = settings.Bounds{ApplyWithin: 4 * time.Second, RevokeWithin: 5 * time.Second}

// keyedGateway is a gateway whose callers identify themselves, with a clock of its own.
type keyedGateway struct {
	*testGateway
	clock atomic.Int64
	sink  *configurationSink
}

// newKeyedGateway starts a gateway without a configuration that was confirmed.
func newKeyedGateway(t *testing.T, targets ...*fakeTarget) *keyedGateway {
	t.Helper()
	k := &keyedGateway{testGateway: newTestGateway(t, targets...)}
	k.clock.Store(int64(time.Hour))
	g := k.gateway
	g.Configuration.Store(nil)
	g.Confirmations = newConfirmations(keyBounds, func() time.Duration { return time.Duration(k.clock.Load()) }, g.Log)
	k.sink = &configurationSink{decoder: keyDecoder{}, name: "main", current: g.Configuration, fleet: k.fleet, log: g.Log, confirmations: g.Confirmations}
	return k
}

// list has the gateway list a configuration of the store.
func (k *keyedGateway) list(text string) {
	k.pass(1) // since the response before
	k.sink.Replace(time.Now(), []objects.Object{{Name: "main", Value: []byte(text)}}, time.Time{}, false)
	k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), List: true})
}

// pass lets time pass on the gateway's clock.
func (k *keyedGateway) pass(d time.Duration) { k.clock.Add(int64(d)) }

// TestKeys guards against requests that are executed without a known key or while the
// configuration may be too old, against a 401 that a newer or just replaced configuration
// would not give, and against public routes that depend on the store.
func TestKeys(t *testing.T) {
	tests := []struct {
		name      string
		prepare   func(k *keyedGateway)
		path      string
		key       string
		status    int
		reason    string // in the log
		workspace string
	}{
		{"a known key", nil, "/safe/x", "red-1", 200, "delivered", "red"},
		{"a key of another workspace", nil, "/safe/x", "blue-1", 200, "delivered", "blue"},
		{"no key", nil, "/safe/x", "", 401, reasonNoKey, ""},
		{"an unknown key", nil, "/safe/x", "green-1", 401, reasonUnknownKey, ""},
		{"a public route without a key", nil, "/public/x", "", 200, "delivered", ""},
		{"a public route with a key", nil, "/public/x", "red-1", 200, "delivered", ""},
		{"a public route with an unknown key", nil, "/public/x", "green-1", 200, "delivered", ""},
		{"no route", nil, "/none/x", "", 404, "no_route", ""},
		{"an unknown key before a newer configuration has to be in force", func(k *keyedGateway) { k.pass(3999 * time.Millisecond) }, "/safe/x", "green-1", 401, reasonUnknownKey, ""},
		{"an unknown key when one may have to be", func(k *keyedGateway) { k.pass(4 * time.Second) }, "/safe/x", "green-1", 503, reasonUnconfirmed, ""},
		{"no key when one may have to be", func(k *keyedGateway) { k.pass(4 * time.Second) }, "/safe/x", "", 503, reasonUnconfirmed, ""},
		{"a known key just before the bound", func(k *keyedGateway) { k.pass(4999 * time.Millisecond) }, "/safe/x", "red-1", 200, "delivered", "red"},
		{"a known key at the bound", func(k *keyedGateway) { k.pass(5 * time.Second) }, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"a public route at the bound", func(k *keyedGateway) { k.pass(5 * time.Second) }, "/public/x", "", 200, "delivered", ""},
		{"a known key when the store answers again", func(k *keyedGateway) {
			k.pass(time.Hour)
			k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load())})
		}, "/safe/x", "red-1", 200, "delivered", "red"},
		{"a response from before a suspension", func(k *keyedGateway) {
			sentAt := time.Duration(k.clock.Load()) + 1
			k.pass(time.Hour)
			k.sink.Responded(follow.Response{SentAt: sentAt})
		}, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"a store restored to an older configuration", func(k *keyedGateway) {
			k.pass(5 * time.Second)
			k.list("2 red:red-1")
		}, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"a configuration that can't be read", func(k *keyedGateway) {
			k.pass(5 * time.Second)
			k.list("x red:red-1")
		}, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"an object that can't be read in a watch", func(k *keyedGateway) {
			k.pass(5 * time.Second)
			k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), Incomplete: true})
		}, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"a list without the configuration", func(k *keyedGateway) {
			k.pass(5 * time.Second)
			k.sink.Replace(time.Now(), nil, time.Time{}, false)
			k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), List: true})
		}, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"a list without the configuration after one that was dropped", func(k *keyedGateway) {
			k.pass(5 * time.Second)
			k.sink.Replace(time.Now(), []objects.Object{{Name: "main", Value: []byte("5 red:red-1 blue:blue-1")}}, time.Time{}, false)
			k.sink.Replace(time.Now(), nil, time.Time{}, false)
			k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), List: true})
		}, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"watches of two histories", func(k *keyedGateway) {
			k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()) + 1, History: 2})
			k.pass(5 * time.Second)
			k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load())})
		}, "/safe/x", "red-1", 503, reasonUnconfirmed, ""},
		{"a key just withdrawn", func(k *keyedGateway) { k.list("6 blue:blue-1") }, "/safe/x", "red-1", 503, reasonKeyWithdrawn, ""},
		{"a key withdrawn before others", func(k *keyedGateway) {
			for v := range 3 {
				k.pass(time.Second)
				k.list(fmt.Sprintf("%d blue:blue-1", 6+v))
			}
		}, "/safe/x", "red-1", 503, reasonKeyWithdrawn, ""},
		{"a key withdrawn earlier", func(k *keyedGateway) {
			k.list("6 blue:blue-1")
			k.pass(4 * time.Second)
			k.list("7 blue:blue-1")
		}, "/safe/x", "red-1", 401, reasonUnknownKey, ""},
		{"an unknown key after a change", func(k *keyedGateway) { k.list("6 blue:blue-1") }, "/safe/x", "green-1", 401, reasonUnknownKey, ""},
		{"a key that moved", func(k *keyedGateway) { k.list("6 blue:red-1") }, "/safe/x", "red-1", 200, "delivered", "blue"},
		{"a key of the last workspace just withdrawn", func(k *keyedGateway) { k.list("6 none") }, "/safe/x", "red-1", 503, reasonKeyWithdrawn, ""},
		{"a key of the last workspace withdrawn earlier", withdrawAll("none"), "/safe/x", "red-1", 401, reasonUnknownKey, ""},
		{"an unknown key without any workspace", withdrawAll("none"), "/safe/x", "green-1", 401, reasonUnknownKey, ""},
		{"no key without any workspace", withdrawAll("none"), "/safe/x", "", 401, reasonNoKey, ""},
		{"a public route without any workspace", withdrawAll("none"), "/public/x", "", 200, "delivered", ""},
		{"a withdrawn key and no list of workspaces", withdrawAll(""), "/safe/x", "red-1", 401, reasonUnknownKey, ""},
		{"an unknown key and no list of workspaces", withdrawAll(""), "/safe/x", "green-1", 401, reasonUnknownKey, ""},
		{"no key and no list of workspaces", withdrawAll(""), "/safe/x", "", 401, reasonNoKey, ""},
		{"a key of a workspace that returned", func(k *keyedGateway) {
			withdrawAll("")(k)
			k.list("8 red:red-1")
		}, "/safe/x", "red-1", 200, "delivered", "red"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ft := newFakeTarget(t, "t1", respond(200, "good", signed))
			k := newKeyedGateway(t, ft)
			k.list("5 red:red-1 blue:blue-1")
			if test.prepare != nil {
				test.prepare(k)
			}
			r := k.call(t, test.path, "Key", test.key)
			if r.status != test.status || !strings.Contains(k.logText(), `"reason":"`+test.reason+`"`) {
				t.Errorf("status %d\n%s", r.status, k.logText())
			}
			if (r.status == 503) != (r.header.Get("Retry-After") != "") || (r.status == 401) != (r.header.Get("WWW-Authenticate") == "Bearer") {
				t.Errorf("header: %v", r.header)
			}
			if requests := ft.requests(); (len(requests) > 0) != (test.status == 200) || (len(requests) > 0 && requests[0].Header.Get("Workspace") != test.workspace) {
				t.Errorf("%d requests at the target", len(requests))
			}
			if test.key != "" && strings.Contains(k.logText(), test.key) {
				t.Errorf("the log contains the key: %s", k.logText())
			}
		})
	}
}

// withdrawAll withdraws all workspaces, longer ago than another process may take to know of
// it. The next configurations have the given text after their versions.
func withdrawAll(text string) func(*keyedGateway) {
	return func(k *keyedGateway) {
		k.list("6 " + text)
		k.pass(4 * time.Second)
		k.list("7 " + text)
	}
}

// TestWithoutWorkspaces guards against a deployment without workspaces in which callers
// need a key, and against a 401 while another process may not need one yet.
func TestWithoutWorkspaces(t *testing.T) {
	k := newKeyedGateway(t, newFakeTarget(t, "t1", respond(200, "good", signed)))
	k.list("6")
	k.pass(time.Hour)
	for _, key := range []string{"", "green-1"} {
		if r := k.call(t, "/safe/x", "Key", key); r.status != 200 {
			t.Errorf("%q: status %d", key, r.status)
		}
	}
	k.list("7 red:red-1")
	if r := k.call(t, "/safe/x"); r.status != 503 || !strings.Contains(k.logText(), `"reason":"`+reasonKeyWithdrawn+`"`) {
		t.Errorf("just introduced: status %d", r.status)
	}
}

// TestNoConfirmation guards against a restarted process that accepts keys before its first
// confirmation.
func TestNoConfirmation(t *testing.T) {
	ft := newFakeTarget(t, "t1", respond(200, "good", signed))
	k := newKeyedGateway(t, ft)
	k.sink.Replace(time.Now(), []objects.Object{{Name: "main", Value: []byte("5 red:red-1")}}, time.Time{}, false)
	for _, key := range []string{"red-1", "green-1", ""} {
		if r := k.call(t, "/safe/x", "Key", key); r.status != 503 || r.header.Get("Retry-After") == "" {
			t.Errorf("%q: status %d", key, r.status)
		}
	}
	if r := k.call(t, "/public/x"); r.status != 200 || len(ft.requests()) != 1 {
		t.Errorf("public route: status %d, %d requests", r.status, len(ft.requests()))
	}
}

// TestKeyBeforeAttempt guards against an attempt of a request whose key was withdrawn, or
// whose configuration became too old, while the request waited for the attempt.
func TestKeyBeforeAttempt(t *testing.T) {
	refuse := respond(503, "", "Not-Run: 1", "Retry-After: 0.1")
	tests := []struct {
		name      string
		first     step // of the target
		meanwhile func(k *keyedGateway)
		status    int
		workspace string // of the second attempt, empty if there is none
	}{
		{"nothing changes", refuse, func(*keyedGateway) {}, 200, "red"},
		{"the key is withdrawn", refuse, func(k *keyedGateway) { k.list("6 blue:blue-1") }, 503, ""},
		{"the key is withdrawn and the time for that is over", refuse, func(k *keyedGateway) {
			k.list("6 blue:blue-1")
			k.pass(4 * time.Second)
			k.list("7 blue:blue-1")
		}, 503, ""},
		{"the key moves", refuse, func(k *keyedGateway) { k.list("6 blue:red-1") }, 200, "blue"},
		{"the process is suspended", refuse, func(k *keyedGateway) { k.pass(5 * time.Second) }, 503, ""},
		{"the process is suspended and hears of the store", refuse, func(k *keyedGateway) {
			k.pass(5 * time.Second)
			k.list("5 red:red-1")
		}, 200, "red"},
		{"the key is withdrawn after a run", resetAfter(""), func(k *keyedGateway) { k.list("6 blue:blue-1") }, 502, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var k *keyedGateway
			first := func(c net.Conn, r *http.Request) bool {
				test.meanwhile(k)
				return test.first(c, r)
			}
			t1 := newFakeTarget(t, "t1", first, respond(200, "good", signed))
			k = newKeyedGateway(t, t1)
			k.list("5 red:red-1")
			r := k.call(t, "/safe/x", "Key", "red-1")
			if r.status != test.status {
				t.Errorf("status %d\n%s", r.status, k.logText())
			}
			requests := t1.requests()
			if requests[0].Header.Get("Workspace") != "red" {
				t.Errorf("first attempt for %q", requests[0].Header.Get("Workspace"))
			}
			if (len(requests) == 2) != (test.workspace != "") || (len(requests) == 2 && requests[1].Header.Get("Workspace") != test.workspace) {
				t.Errorf("%d requests", len(requests))
			}
		})
	}
}

// TestUnidentifiedUpload guards against a rejection that is lost because the connection is
// reset while the body is sent, and against one that waits for the body.
func TestUnidentifiedUpload(t *testing.T) {
	k := newKeyedGateway(t, newFakeTarget(t, "t1", respond(200, "good", signed)))
	k.list("5 red:red-1")
	c, err := net.Dial("tcp4", k.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br, body := bufio.NewReader(c), strings.Repeat("x", 512<<10)
	for _, request := range []struct {
		key, early, late string // parts of the body that are sent before and after the response
		status           int
	}{{"green-1", "", body, 401}, {"red-1", body, "", 200}} {
		_, _ = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s", request.key, len(body), request.early)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != request.status {
			t.Fatalf("%v, %v", resp, err)
		}
		if _, err := io.WriteString(c, request.late); err != nil {
			t.Error(err)
		}
	}
}

// keyStore is a store with one configuration that counts calls, and may answer lists only
// or nothing.
type keyStore struct {
	calls  atomic.Int64
	silent atomic.Bool // no call is answered
	lists  atomic.Bool // only lists are
}

func (s *keyStore) List(ctx context.Context, _ objects.ObjectKind) ([]objects.Object, follow.Position, error) {
	s.calls.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, follow.Position{}, ctx.Err()
	}
	return []objects.Object{{Name: "main", Value: []byte("5 red:red-1"), Version: 1}}, follow.Position{History: 1, Version: 1}, nil
}

func (s *keyStore) Watch(ctx context.Context, _ objects.ObjectKind, p follow.Position, wait time.Duration) ([]objects.Object, follow.Position, error) {
	s.calls.Add(1)
	if s.silent.Load() || s.lists.Load() {
		<-ctx.Done()
		return nil, follow.Position{}, ctx.Err()
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, p, ctx.Err()
}

// followKeys has a gateway follow a store with the given bounds.
func followKeys(t *testing.T, k *keyedGateway, s follow.Source, b settings.Bounds) {
	t.Helper()
	start := time.Now()
	k.gateway.Confirmations.clock = func() time.Duration { return time.Since(start) }
	k.gateway.Confirmations.setBounds(b)
	f := follow.New(s, "kind", k.sink, watchIntervals(b.ApplyWithin, watchPauseShare), event.Discard())
	f.Observe(k.sink, k.gateway.Confirmations.clock)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	if !eventually(func() bool {
		return k.gateway.latestConfirmation().Within(k.gateway.Confirmations.clock(), b.RevokeWithin)
	}) {
		t.Fatal("no confirmation")
	}
}

// TestStoreSilent guards against keys that are accepted for longer than the bound while the
// store answers nothing, or lists only to processes that watch.
func TestStoreSilent(t *testing.T) {
	for name, fault := range map[string]func(*keyStore){
		"answers nothing": func(s *keyStore) { s.silent.Store(true) },
		"answers lists":   func(s *keyStore) { s.lists.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeyedGateway(t, newFakeTarget(t, "t1", respond(200, "good", signed)))
			s := &keyStore{}
			followKeys(t, k, s, settings.Bounds{ApplyWithin: 400 * time.Millisecond, RevokeWithin: 500 * time.Millisecond})
			if r := k.call(t, "/safe/x", "Key", "red-1"); r.status != 200 {
				t.Errorf("status %d", r.status)
			}
			fault(s)
			time.Sleep(600 * time.Millisecond)
			if r := k.call(t, "/safe/x", "Key", "red-1"); r.status != 503 {
				t.Errorf("status %d", r.status)
			}
			if r := k.call(t, "/public/x"); r.status != 200 {
				t.Errorf("public route: status %d", r.status)
			}
			s.silent.Store(false)
			s.lists.Store(false)
			if !eventually(func() bool { return k.call(t, "/safe/x", "Key", "red-1").status == 200 }) {
				t.Error("no key is accepted after the fault")
			}
		})
	}
}

// TestFlood guards against unknown keys that cost calls of the store or the memory of
// requests in progress.
func TestFlood(t *testing.T) {
	k := newKeyedGateway(t, newFakeTarget(t, "t1", respond(200, "good", signed)))
	s := &keyStore{}
	followKeys(t, k, s, settings.Bounds{ApplyWithin: 20 * time.Second, RevokeWithin: 25 * time.Second}) // a call in 10 s
	before := s.calls.Load()
	for i := range 500 {
		if r := k.call(t, "/safe/x", "Key", fmt.Sprintf("invented-%d", i)); r.status != 401 {
			t.Fatalf("status %d", r.status)
		}
	}
	if calls := s.calls.Load() - before; calls > 1 {
		t.Errorf("%d calls of the store", calls)
	}
	if strings.Contains(k.logText(), "invented") {
		t.Error("the log contains a key")
	}
}

// TestConfirmationEvents guards against keys that are rejected for the age of the
// configuration without a line in the log.
func TestConfirmationEvents(t *testing.T) {
	k := newKeyedGateway(t)
	c := k.gateway.Confirmations
	report := func() { c.report(k.gateway.Configuration.Load(), k.gateway.Scope) }
	k.list("5 red:red-1")
	report()
	if strings.Contains(k.logText(), "confirmation_") {
		t.Error(k.logText())
	}
	k.pass(5 * time.Second)
	report()
	report()
	if strings.Count(k.logText(), "confirmation_expired") != 1 {
		t.Error(k.logText())
	}
	k.list("4 red:red-1")
	if !strings.Contains(k.logText(), "configuration_outdated") {
		t.Error(k.logText())
	}
	k.list("6 red:red-1")
	report()
	if strings.Count(k.logText(), "confirmation_renewed") != 1 {
		t.Error(k.logText())
	}
	if k.pass(4 * time.Second); len(*c.replaced.Load()) != 1 {
		t.Errorf("%d replaced configurations", len(*c.replaced.Load()))
	}
	if report(); len(*c.replaced.Load()) != 0 {
		t.Error("a replaced configuration is kept")
	}
}

// TestPeriod guards against other calls of the store in deployments without workspaces, and
// against a period that the bounds do not allow.
func TestPeriod(t *testing.T) {
	keyed, err := keyDecoder{}.Configuration([]byte("1 red:red-1"))
	if err != nil {
		t.Fatal(err)
	}
	open, err := keyDecoder{}.Configuration([]byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		apply, revoke time.Duration
		cfg           *routing.Configuration
		want          time.Duration
	}{
		{4 * time.Second, 5 * time.Second, nil, 0},
		{4 * time.Second, 5 * time.Second, open, 0},
		{4 * time.Second, 5 * time.Second, keyed, 2 * time.Second},
		{2 * time.Second, 5 * time.Second, keyed, time.Second},
		{4 * time.Second, 2 * time.Second, keyed, 800 * time.Millisecond},
		{4 * time.Second, 0, keyed, 2800 * time.Millisecond},
	}
	for _, test := range tests {
		c := newConfirmations(settings.Bounds{ApplyWithin: test.apply, RevokeWithin: test.revoke}, func() time.Duration { return 0 }, event.Discard())
		if got := c.period(test.cfg); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}
