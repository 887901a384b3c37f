package gateway

import (
	"context"

	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/fairshare"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
)

// sharedConfiguration returns the configuration of the test's routes with two workspaces
// of equal urgency.
func sharedConfiguration() *routing.Configuration {
	cfg := routing.New(3, testRoutes(), []routing.Service{{Name: "s"}}, routing.Limits{})
	var ws routing.Workspaces
	ws.Add(routing.Workspace{Name: "busy", Urgency: 1}, nil)
	ws.Add(routing.Workspace{Name: "calm", Urgency: 1}, nil)
	cfg.SetWorkspaces(ws)
	return cfg
}

// callOf returns a call of a workspace for a path.
func callOf(cfg *routing.Configuration, workspace, path, model string) *call {
	now := time.Now()
	route, _ := cfg.Match("h", path)
	w, _ := cfg.WorkspaceNamed(workspace)
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	r.Header.Set("Id", "r1")
	c := newCall(now, RequestMeta{ID: "r1", Model: model, PromptTokens: 100}, route, "s", r, []byte("body"))
	c.setOrder(cfg, w)
	return c
}

// exhaust records shares of which the workspace busy has got half of what it asked for.
func (tg *testGateway) exhaust(shares *fairshare.Shares) {
	now := time.Now()
	for range 100 {
		shares.Offer(now, "busy", time.Second)
	}
	for range 50 {
		shares.Use(now, "busy", time.Second)
	}
	for range 10 {
		shares.Offer(now, "calm", time.Second)
		shares.Use(now, "calm", time.Second)
	}
}

// setBacklog makes the fleet believe that the target has to read prompts for a time.
func (tg *testGateway) setBacklog(id string, d time.Duration) {
	tg.learnReadTime(100 * time.Millisecond) // for a thousand tokens
	tg.fleet.mu.Lock()
	defer tg.fleet.mu.Unlock()
	t := tg.fleet.targets[id]
	t.applyState(time.Now(), peer.EngineState{Reachable: true, Models: []string{"m"}})
	t.observeBacklog(time.Now(), int(d/(100*time.Microsecond)))
}

func TestWorkspaceOrder(t *testing.T) {
	convey.Convey("Given a workspace above its share and one below", t, func() {
		ft := newFakeTarget(t, "t1", sendEvents(1, 2, true))
		tg := newKeyedGateway(t, ft)
		tg.list("4 busy:busy-key calm:calm-key")
		tg.exhaust(tg.gateway.order.sharesOf("s"))
		send := func(workspace string) (int, http.Header) {
			got := tg.call(t, "/once/x", "Model", "m", "Key", workspace+"-key")
			return got.status, got.header
		}
		urgencies := func() (out []string) {
			for _, r := range ft.requests() {
				out = append(out, r.Header.Get("Urgency"))
			}
			return out
		}
		convey.Convey("without contention both are served alike", func() {
			tg.setBacklog("t1", 0)
			for _, name := range []string{"busy", "calm"} {
				status, _ := send(name)
				convey.So(status, convey.ShouldEqual, 200)
			}
			convey.So(urgencies(), convey.ShouldResemble, []string{"0", "0"})
		})
		convey.Convey("with some contention the one above its share is less urgent at the target", func() {
			for _, name := range []string{"busy", "calm"} {
				tg.setBacklog("t1", 120*time.Millisecond) // of an objective of 300 ms
				status, _ := send(name)
				convey.So(status, convey.ShouldEqual, 200)
			}
			convey.So(urgencies(), convey.ShouldResemble, []string{"1", "0"})
		})
		convey.Convey("with more it is rejected, and the other is not", func() {
			tg.setBacklog("t1", 400*time.Millisecond)
			status, header := send("busy")
			convey.So(status, convey.ShouldEqual, 503)
			convey.So(header.Get("Retry-After"), convey.ShouldBeBetween, "0.20", "0.60")
			convey.So(tg.logText(), convey.ShouldContainSubstring, `"name":"share_exceeded"`)
			status, _ = send("calm")
			convey.So(status, convey.ShouldEqual, 200)
		})
		convey.Convey("and beyond what callers wait both are", func() {
			tg.setBacklog("t1", 4*time.Second)
			for _, name := range []string{"busy", "calm"} {
				status, _ := send(name)
				convey.So(status, convey.ShouldEqual, 503)
			}
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
		})
	})
	convey.Convey("Without workspaces a request has the urgency of its route", t, func() {
		cfg := routing.New(3, []routing.Route{{Host: "h", Prefix: "/", Urgency: 12}}, nil, routing.Limits{})
		c := callOf(cfg, "", "/", "m")
		convey.So([]int{c.urgency, c.urgencyAboveShare}, convey.ShouldResemble, []int{12, 12})
	})
}

// Engine time that a workspace uses at a service with idle targets must not count against it
// at another one, which another workspace floods.
func TestSharesOfServices(t *testing.T) {
	tg := newTestGateway(t, newFakeTarget(t, "t1", sendEvents(1, 2, true)))
	cfg, now := sharedConfiguration(), time.Now()
	record := func(workspace, service string, offered, used int) *call {
		c := callOf(cfg, workspace, "/once/x", "m")
		c.service = service
		for range offered {
			tg.gateway.recordOffer(now, c)
		}
		for range used {
			tg.gateway.recordUse(now, c)
		}
		return c
	}
	record("calm", "idle", 100, 100)
	calm, busy := record("calm", "s", 10, 10), record("busy", "s", 120, 60)
	if got := tg.gateway.standing(now, calm); got != fairshare.Within {
		t.Errorf("the workspace that got all of its few requests served is %s its share", got)
	}
	if got := tg.gateway.standing(now, busy); got != fairshare.Above {
		t.Errorf("the workspace that floods the service is %s its share", got)
	}
}

// A workspace that asks for many adapters must not fill the loads at an engine for others.
func TestLoadShare(t *testing.T) {
	tg := newTestGateway(t, newFakeTarget(t, "t1", sendEvents(1, 2, true)))
	newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Admitted: true}) })
	cfg := sharedConfiguration()
	tg.exhaust(tg.gateway.order.loads)
	for _, test := range []struct {
		workspace string
		missing   int // adapters for which others wait
		want      string
	}{{"busy", 0, "timeout"}, {"calm", 5, "timeout"}, {"busy", 5, reasonLoadShare}} {
		tg.fleet.mu.Lock()
		tg.fleet.targets["t1"].missingAdapters = test.missing
		tg.fleet.mu.Unlock()
		c := callOf(cfg, test.workspace, "/patient/x", "m")
		c.adapter.Name = "a1"
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, reason := tg.gateway.awaitTarget(ctx, c)
		cancel()
		if reason != test.want || (reason == reasonLoadShare) != (c.retryAfter > 0) {
			t.Errorf("%s, %d missing adapters: reason %q, retry after %s, expected %q", test.workspace, test.missing, reason, c.retryAfter, test.want)
		}
	}
	// A started stream, and a call that may have run, must not be ended for the sake of others.
	tg.fleet.mu.Lock()
	tg.fleet.targets["t1"].replica.Version = "v1"
	tg.fleet.mu.Unlock()
	for _, begin := range []func(*call){func(c *call) { c.headerSent, c.softwareVersion = true, "v1" }, func(c *call) { c.possibleRuns = 1 }} {
		c := callOf(cfg, "busy", "/patient/x", "m")
		c.adapter.Name = "a2"
		begin(c)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, reason := tg.gateway.awaitTarget(ctx, c)
		cancel()
		if reason == reasonLoadShare {
			t.Errorf("a call with headerSent %t and %d runs was rejected: %s", c.headerSent, c.possibleRuns, reason)
		}
	}
}

// A target whose responses took long under an earlier load must not be given up: while it
// gets no requests, nothing shows that it is fast again.
func TestFreeTargetIsUsed(t *testing.T) {
	ft := newFakeTarget(t, "t1", sendEvents(1, 2, true))
	tg := newTestGateway(t, ft)
	tg.setBacklog("t1", 0)
	tg.fleet.mu.Lock()
	for range 100 {
		tg.fleet.latencyOf("s").observe(time.Minute, time.Minute, 1)
	}
	tg.fleet.targets["t1"].observeLoad(time.Now(), Load{Running: 3, Slots: 4})
	tg.fleet.mu.Unlock()
	if got := tg.call(t, "/once/x", "Model", "m"); got.status != 200 {
		t.Errorf("a request for which a slot is free got status %d", got.status)
	}
}

// A prompt whose forecast gets worse than what its caller waits must not keep its place
// until the caller has left.
func TestWorseningForecast(t *testing.T) {
	ft := newFakeTarget(t, "t1", sendEvents(1, 2, true))
	tg := newTestGateway(t, ft)
	tg.learnReadTime(100 * time.Millisecond)
	p := newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) {
		_, _ = c.Send(peer.PromptAnswer{ID: m.ID, Ahead: 8000})
		time.Sleep(50 * time.Millisecond)
		tg.learnReadTime(time.Second) // the engine has become ten times slower
		tg.learnReadTime(time.Second)
	})
	start := time.Now()
	got := tg.call(t, "/once/x", "Model", "m")
	if took := time.Since(start); got.status != 503 || took > time.Second {
		t.Errorf("status %d after %s, expected a rejection within a second", got.status, took)
	}
	if !p.allDone(1) || len(ft.requests()) > 0 {
		t.Error("the offer was not ended, or the request was sent")
	}
}

// A prompt that is admitted a little later than forecast must not be rejected because of the
// prompts that wait behind it.
func TestLateAdmission(t *testing.T) {
	ft := newFakeTarget(t, "t1", sendEvents(1, 2, true))
	tg := newTestGateway(t, ft)
	tg.learnReadTime(100 * time.Millisecond)
	newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) {
		_, _ = c.Send(peer.PromptAnswer{ID: m.ID, Ahead: 6000})
		time.Sleep(50 * time.Millisecond)
		tg.fleet.mu.Lock()
		tg.fleet.targets["t1"].observeBacklog(time.Now(), 24000)
		tg.fleet.mu.Unlock()
		time.Sleep(850 * time.Millisecond)
		_, _ = c.Send(peer.PromptAnswer{ID: m.ID, Admitted: true})
	})
	if got := tg.call(t, "/once/x", "Model", "m"); got.status != 200 {
		t.Errorf("a prompt that was admitted after 0.9 s instead of 0.6 s got status %d", got.status)
	}
}

func TestDividedRoom(t *testing.T) {
	const size = 160
	newControl := func() *admissionControl {
		return newAdmissionControl(reservedDescriptors+size*requestDescriptors, 0)
	}
	convey.Convey("A workspace that fills an entryd leaves room for the others", t, func() {
		ac, cfg := newControl(), sharedConfiguration()
		enter := func(workspace string) *place {
			w, _ := cfg.WorkspaceNamed(workspace)
			p, _ := ac.enter(time.Now(), cfg, w)
			return p
		}
		var busy []*place
		for p := enter("busy"); p != nil; p = enter("busy") {
			busy = append(busy, p)
		}
		convey.So(len(busy), convey.ShouldEqual, size*7/8)
		for range 10 {
			convey.So(enter("calm"), convey.ShouldNotBeNil)
		}
		convey.So(enter(""), convey.ShouldNotBeNil) // a public route
		convey.Convey("and gets back what it is entitled to", func() {
			for _, p := range busy[:20] {
				p.leave(time.Now())
			}
			convey.So(enter("busy"), convey.ShouldNotBeNil)
		})
	})
	convey.Convey("Without workspaces every place is used", t, func() {
		ac, cfg := newControl(), routing.New(1, nil, nil, routing.Limits{})
		n := 0
		for {
			p, untilRoom := ac.enter(time.Now(), cfg, nil)
			if p == nil {
				convey.So(untilRoom, convey.ShouldBeBetweenOrEqual, shortRetryAfter, 2*shortRetryAfter)
				break
			}
			n++
		}
		convey.So(n, convey.ShouldEqual, size)
	})
	convey.Convey("Rejected callers return at the rate at which requests end", t, func() {
		ac, cfg := newControl(), routing.New(1, nil, nil, routing.Limits{})
		start := time.Now()
		var places []*place
		for range size {
			p, _ := ac.enter(start, cfg, nil)
			places = append(places, p)
		}
		places[0].leave(start.Add(2 * time.Second))
		_, _ = ac.enter(start, cfg, nil)
		var last time.Duration
		for range size / 2 {
			_, last = ac.enter(start, cfg, nil)
		}
		convey.So(last, convey.ShouldBeBetween, 900*time.Millisecond, 1600*time.Millisecond)
	})
	convey.Convey("A caller that returns at once many times does not delay others after it has left", t, func() {
		ac, cfg := newControl(), routing.New(1, nil, nil, routing.Limits{})
		start := time.Now()
		var places []*place
		for range size {
			p, _ := ac.enter(start, cfg, nil)
			places = append(places, p)
		}
		places[0].leave(start.Add(time.Second))
		_, _ = ac.enter(start, cfg, nil)
		for range 100_000 {
			_, _ = ac.enter(start, cfg, nil)
		}
		for range 10 * size { // one after the other
			places[1].leave(start.Add(time.Second))
			places[1], _ = ac.enter(start, cfg, nil)
		}
		_, untilRoom := ac.enter(start, cfg, nil)
		convey.So(untilRoom, convey.ShouldBeBetweenOrEqual, shortRetryAfter, 2*shortRetryAfter)
	})
}

// A request whose caller has left must not keep what others wait for, in whichever wait it
// is: its room, its place among those that wait for an adapter, its prompt's place and its
// request for a permit.
func TestCallerLeavesWait(t *testing.T) {
	never := func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Ahead: 9000}) }
	for name, test := range map[string]struct {
		path    string
		headers []string
		prepare func(t *testing.T, tg *testGateway) (waits, freed func() bool)
	}{
		"an unanswered offer": {"/patient/x", []string{"Model", "m"}, func(t *testing.T, tg *testGateway) (_, _ func() bool) {
			tg.learnReadTime(100 * time.Millisecond)
			p := newFakePacer(t, tg, "t1", func(*peer.Conn, peer.PromptOffer) {})
			return func() bool { n, _ := p.counts(); return n == 1 }, func() bool { _, n := p.counts(); return n == 1 }
		}},
		"a prompt that waits": {"/patient/x", []string{"Model", "m"}, func(t *testing.T, tg *testGateway) (_, _ func() bool) {
			tg.learnReadTime(100 * time.Millisecond)
			p := newFakePacer(t, tg, "t1", never)
			return func() bool { n, _ := p.counts(); return n == 1 }, func() bool { _, n := p.counts(); return n == 1 }
		}},
		"an adapter": {"/patient/x", []string{"Model", "m", "Adapter", "a1"}, func(t *testing.T, tg *testGateway) (_, _ func() bool) {
			newFakePacer(t, tg, "t1", never)
			waiting := func() int {
				tg.fleet.mu.Lock()
				defer tg.fleet.mu.Unlock()
				ts := tg.fleet.targets["t1"]
				return ts.waiting[orders.Adapter{Model: "m", Name: "a1"}] + ts.waitingTokens
			}
			return func() bool { return waiting() > 0 }, func() bool { return waiting() == 0 }
		}},
		"a permit": {"/unsafe/x", nil, func(t *testing.T, tg *testGateway) (_, _ func() bool) {
			issuer := newFakeIssuer(t, tg, "t1", func(*peer.Conn, peer.PermitRequest) {})
			_ = tg.call(t, "/unsafe/x") // whose answer states the limit
			requested := func() int {
				tg.fleet.mu.Lock()
				defer tg.fleet.mu.Unlock()
				return tg.fleet.targets["t1"].limit.requested
			}
			return func() bool { return requested() == 1 }, func() bool { return requested() == 0 && issuer.cancels() == 1 }
		}},
		"a target's answer": {"/patient/x", []string{"Model", "m"}, func(t *testing.T, tg *testGateway) (_, _ func() bool) {
			tg.setBacklog("t1", 0)
			unread := func() int {
				tg.fleet.mu.Lock()
				defer tg.fleet.mu.Unlock()
				return tg.fleet.targets["t1"].unreadTokens + tg.fleet.targets["t1"].inFlight
			}
			return func() bool { return unread() > 0 }, func() bool { return unread() == 0 }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			ft := newFakeTarget(t, "t1")
			ft.steps = []step{ft.hang()}
			if name == "a permit" {
				ft.steps = []step{respond(200, "good", signed, limited), ft.hang()}
			}
			tg := newTestGateway(t, ft)
			waits, freed := test.prepare(t, tg)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				tg.callWith(ctx, t, test.path, test.headers...)
			}()
			if !eventually(waits) {
				t.Fatal("the request does not wait")
			}
			cancel()
			left := time.Now()
			<-done
			room := func() bool {
				tg.gateway.admission.mu.Lock()
				defer tg.gateway.admission.mu.Unlock()
				return tg.gateway.admission.requests == 0
			}
			if !eventually(func() bool { return freed() && room() }) {
				t.Fatalf("5 s later: place freed %t, room freed %t", freed(), room())
			}
			if took := time.Since(left); took > 500*time.Millisecond {
				t.Errorf("its places were freed after %s", took)
			}
		})
	}
}

// With the real number of entryds the budgets of all stay within the deployment's, however
// unevenly callers reach them, and also after the targets that stated the number are gone.
func TestRetryBudgetOfManyEntryds(t *testing.T) {
	const entryds, ratio, slack = 21, 0.2, 30.0
	start := time.Unix(1000, 0)
	now := start
	f := engineFleet(start, 1)
	f.targets["i-0"].state.ConnectedEntries = entryds
	if got := f.entrydCount(); got != entryds {
		t.Fatalf("%d entryds are known, expected %d", got, entryds)
	}
	f.mu.Lock()
	f.drop(now, f.targets["i-0"])
	f.mu.Unlock()
	var all []*retryBudget
	for range entryds {
		all = append(all, newRetryBudget(ratio, slack, 10*time.Second, start))
	}
	requests, retries := 0, 0
	for i := range 1000 {
		b := all[min(i%(2*entryds), entryds-1)] // half of all requests go to one of them
		b.recordRequest(now, "s")
		requests++
		for _, b := range all { // callers repeat at once at all of them
			for range 3 {
				if b.tryAcquire(now, "s", f.entrydCount()) {
					retries++
				}
			}
		}
	}
	if limit := ratio*float64(requests) + slack; float64(retries) > limit {
		t.Errorf("%d retries of %d requests, expected at most %v", retries, requests, limit)
	}
}

// A call ended with a panic when a configuration without its workspace came into force
// while it waited for its adapter.
func TestLoadOfRemovedWorkspace(t *testing.T) {
	tg := newTestGateway(t)
	cfg := sharedConfiguration()
	c := callOf(cfg, "busy", "/patient/x", "m")
	c.needsLoad = true
	c.setOrder(cfg, nil)
	now := time.Now()
	if tg.gateway.lacksLoadShare(now, c, selection{loadsWait: true}) {
		t.Error("a call without a workspace lacks its share")
	}
	tg.gateway.recordLoad(now, c)
}
