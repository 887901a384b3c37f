package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/overload"
	"github.com/borageusher/borageusher/pkg/routing"
)

// newExplainedGateway returns a gateway with engines whose connections panic if anything is
// sent on them, in a random state without equal costs.
func newExplainedGateway(t *testing.T, now time.Time, engines int, random *rand.Rand) *testGateway {
	t.Helper()
	tg := newTestGateway(t)
	routes := testRoutes()
	for i := range routes {
		routes[i].Shares = []routing.Share{{Service: "llm", Weight: 1}}
	}
	cfg := routing.New(3, routes, []routing.Service{{Name: "llm", Engine: &routing.Engine{AdapterSlots: 4, CacheTokens: 100000}}}, routing.Limits{BodyBytes: 1000})
	f := engineFleet(now, engines)
	f.cfg, f.targetsListed, f.versionsListed = cfg, true, true
	learnReading(f)
	f.latencyOf("llm").observe(10*time.Millisecond, 50*time.Millisecond, 1)
	a1 := orders.Adapter{Model: "m", Name: "a1"}
	for i := range engines {
		e := f.targets[fmt.Sprint("i-", i)]
		e.observeBacklog(now, 100*i+random.IntN(50))
		e.observeLoad(now, Load{Running: random.IntN(6), Slots: 4})
		e.recordFailure(now.Add(-time.Duration(1+i) * time.Second))
		switch random.IntN(6) {
		case 0:
			e.avoidUntil = now.Add(time.Second)
		case 1:
			e.notice.backoffUntil = now.Add(time.Second)
		case 2:
			f.setLimit(now, e.incarnation, 10, "test")
			e.limit.askedAt = now
		default:
			e.resident[a1] = 1
			f.reindex(e, a1)
		}
	}
	tg.fleet, tg.gateway.Fleet = f, f
	tg.gateway.Configuration.Store(cfg)
	tg.gateway.Scope = tally.NewTestScope("", nil)
	return tg
}

// stateOf returns all that decisions of the gateway depend on, and what it has counted and
// logged.
func stateOf(tg *testGateway) string {
	var b strings.Builder
	f, g := tg.fleet, tg.gateway
	for i := range f.targets {
		e := *f.targets[i]
		e.sampledIn = 0 // marks of the collection only
		_, _ = fmt.Fprintf(&b, "%+v %+v %+v\n", e, *e.notice, *e.limit)
	}
	lines := strings.Split(b.String(), "\n")
	// The order of the targets is not part of the state.
	for i := range lines {
		for j := i + 1; j < len(lines); j++ {
			if lines[j] < lines[i] {
				lines[i], lines[j] = lines[j], lines[i]
			}
		}
	}
	for s, l := range f.latencies {
		lines = append(lines, fmt.Sprintf("%s %+v", s, *l))
	}
	lines = append(lines, fmt.Sprintf("%d %v %d %+v %+v", len(f.changes), f.versions, f.lastPermit, f.origins, f.fullChoices),
		fmt.Sprintf("%+v %+v %+v", g.admission, g.RetryBudget, tg.crashes.list), fmt.Sprint(g.inProgress.Load()), tg.logText(), orderStateOf(g),
		fmt.Sprintf("%+v", g.Scope.(tally.TestScope).Snapshot().Counters()))
	return strings.Join(lines, "\n")
}

// orderStateOf returns what the order under load has recorded, without what decays.
func orderStateOf(g *Gateway) string {
	return fmt.Sprintf("%+v %v %v %d %d %d", g.order.overload, g.order.lengths, g.order.loggedAt, g.admission.requests, g.admission.shares.room.Total(), g.admission.shares.turnedOff)
}

// explained returns the explanation of a request with the test's headers.
func (tg *testGateway) explained(now time.Time, path string, bytes int64, headers ...string) Explanation {
	h := http.Header{}
	for i := 0; i+1 < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}
	return tg.gateway.Explain(now, ExplanationOf{Meta: testHeaderCodec{}.ParseRequest(h), Host: "h", URI: path, Method: "POST", Bytes: bytes})
}

// TestExplainedChoice guards against explanations that change what they explain, that send
// messages, and that name another target than a request then gets.
func TestExplainedChoice(t *testing.T) {
	for seed := range uint64(200) {
		now := time.Now()
		random := rand.New(rand.NewPCG(seed, 1))
		tg := newExplainedGateway(t, now, 2+random.IntN(20), random)
		adapter := []string{"", "a1", "a2"}[random.IntN(3)]
		headers := []string{"Id", "r1", "Model", "m", "Adapter", adapter}
		before := stateOf(tg)
		x := tg.explained(now, "/stream/x", 100, headers...)
		if after := stateOf(tg); after != before {
			t.Fatalf("seed %d: the state changed from\n%s\nto\n%s", seed, before, after)
		}
		checkChoice(t, tg, now, x, adapter, seed)
	}
}

// TestExplainedService guards against explanations of another service than the one asked
// for, without a word, on a route that leads to several.
func TestExplainedService(t *testing.T) {
	tg := newTestGateway(t)
	routes := testRoutes()
	routes[0].Shares = []routing.Share{{Service: "few", Weight: 1}, {Service: "s", Weight: 3}}
	tg.gateway.Configuration.Store(routing.New(4, routes, []routing.Service{{Name: "s"}, {Name: "few"}}, routing.Limits{BodyBytes: 1000}))
	for asked, want := range map[string]string{"": "s", "few": "few", "none": "s"} {
		x := tg.gateway.Explain(time.Now(), ExplanationOf{Host: "h", URI: "/safe/x", Service: asked})
		noted := strings.Contains(explanationText(x), "service none, to which the route does not lead")
		if x.Service != want || noted != (asked == "none") {
			t.Errorf("asked for %q: %s", asked, explanationText(x))
		}
	}
}

// TestExplainedSample guards against explanations that hide that each request gets another
// sample of many targets.
func TestExplainedSample(t *testing.T) {
	now := time.Now()
	tg := newExplainedGateway(t, now, 80, rand.New(rand.NewPCG(1, 1)))
	before := stateOf(tg)
	x := tg.explained(now, "/stream/x", 100, "Id", "r1", "Model", "m")
	if !x.Sampled || x.Targets != 80 || len(x.Candidates) >= 80 || !strings.Contains(explanationText(x), "random sample") {
		t.Errorf("%d of %d targets, sampled: %v", len(x.Candidates), x.Targets, x.Sampled)
	}
	if stateOf(tg) != before {
		t.Error("the state changed")
	}
}

// checkChoice compares an explanation with what a request gets at the same time.
func checkChoice(t *testing.T, tg *testGateway, now time.Time, x Explanation, adapter string, seed uint64) {
	t.Helper()
	f, g := tg.fleet, tg.gateway
	for _, e := range f.targets {
		e.loadRequestedAt[orders.Adapter{Model: "m", Name: adapter}] = now // the request sends nothing
	}
	route, _ := g.Configuration.Load().Match("h", "/stream/x")
	c := newCall(now, RequestMeta{ID: "r1", Model: "m", Adapter: adapter}, route, "llm", httptest.NewRequest(http.MethodPost, "/stream/x", nil), make([]byte, 100))
	sel, ok := f.choose(now, c)
	next, _, reason := g.stepAfter(now, c, sel, ok, c.adapterWaitDeadline(now))
	if next == stepSend {
		if reason = g.rejects(now, c, sel, false); reason != "" {
			next = stepReject
		}
	}
	want := map[nextStep]string{stepSend: nextSend, stepWaitForAdapter: nextLoad, stepWaitForTarget: nextAwaitTarget, stepReject: nextReject}[next]
	if next == stepSendWithoutWaiting {
		want = nextSend
		if sel, reason = g.chooseWithoutWaiting(now, c, sel.wait); reason != "" {
			want = nextReject
		}
	}
	if x.Next != want || (want == nextReject && x.Reason != reason) {
		t.Errorf("seed %d: explained %s %s, a request gets %s %s", seed, x.Next, x.Reason, want, reason)
	}
	if want != nextReject && x.Choice != sel.replica.ID {
		t.Errorf("seed %d: explained %s, a request goes to %s", seed, x.Choice, sel.replica.ID)
	}
	if want == nextSend && x.NeedsPermit != f.needsPermit(now, c, sel.target) {
		t.Errorf("seed %d: explained that a permit is needed: %v", seed, x.NeedsPermit)
	}
	if len(x.Candidates) != len(f.targets) {
		t.Errorf("seed %d: %d of %d candidates", seed, len(x.Candidates), len(f.targets))
	}
	for i, o := range x.Candidates {
		if (o.Use == useNone) != (o.Obstacle != "") {
			t.Errorf("seed %d: %s is used as %q with the obstacle %q", seed, o.Target, o.Use, o.Obstacle)
		}
		if i > 0 && o.Use == x.Candidates[i-1].Use && o.Cost < x.Candidates[i-1].Cost {
			t.Errorf("seed %d: %s costs less than the one before", seed, o.Target)
		}
		if i == 0 && o.Use == useHolder && x.Next == nextSend && o.Target != x.Choice {
			t.Errorf("seed %d: the holder with the least cost is %s, chosen is %s", seed, o.Target, x.Choice)
		}
	}
}

// TestExplainedResponses guards against explanations of other responses than callers get,
// and against requests that reach a target because of an explanation.
func TestExplainedResponses(t *testing.T) {
	const honoured = 2 * time.Second / retryAfterDivisor // by callers, within the timeout of the routes
	tests := []struct {
		name    string
		prepare func(k *keyedGateway, ft *fakeTarget)
		path    string
		bytes   int64
		headers []string
		least   time.Duration // Retry-After
		most    time.Duration
	}{
		{"sent", nil, "/safe/x", 4, []string{"Key", "red-1"}, 0, 0},
		{"public", nil, "/public/x", 4, nil, 0, 0},
		{"no route", nil, "/none/x", 4, nil, 0, 0},
		{"no key", nil, "/safe/x", 4, nil, 0, 0},
		{"unknown key", nil, "/safe/x", 4, []string{"Key", "green-1"}, 0, 0},
		{"unconfirmed", func(k *keyedGateway, _ *fakeTarget) { k.pass(6 * time.Second) }, "/safe/x", 4, []string{"Key", "red-1", "Deadline", "900"}, 300 * time.Millisecond, 300 * time.Millisecond},
		{"body too long", nil, "/public/x", 2 << 20, nil, 0, 0},
		{"stopping", func(k *keyedGateway, _ *fakeTarget) { k.gateway.closing.Store(true) }, "/public/x", 4, nil, shortRetryAfter, shortRetryAfter * 3 / 2},
		{"deadline", nil, "/public/x", 4, []string{"Deadline", "5"}, 0, 2 * time.Millisecond},
		{"no target", func(k *keyedGateway, ft *fakeTarget) { k.fleet.targets[ft.id].notice.leaving = true }, "/public/x", 4, nil, honoured - honoured/earlySpreadDivisor, honoured},
		{"backoff", func(k *keyedGateway, ft *fakeTarget) {
			k.fleet.targets[ft.id].notice.backoffUntil = time.Now().Add(time.Minute)
		}, "/public/x", 4, nil, honoured - honoured/earlySpreadDivisor, honoured},
		{"no adapter", func(k *keyedGateway, ft *fakeTarget) { k.fleet.targets[ft.id].added = time.Now().Add(-time.Minute) }, "/public/x", 4, []string{"Model", "m", "Adapter", "a"}, honoured - honoured/earlySpreadDivisor, honoured},
		{"unknown stream", nil, "/stream/x", 4, []string{"Key", "red-1", "Last-Event", "3"}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ft := newFakeTarget(t, "t1", respond(200, "good", signed))
			k := newKeyedGateway(t, ft)
			k.list("5 red:red-1 blue:blue-1")
			if tt.prepare != nil {
				tt.prepare(k, ft)
			}
			log := k.logText()
			x := k.explained(time.Now(), tt.path, tt.bytes, append([]string{"Id", "r1"}, tt.headers...)...)
			if len(ft.requests()) != 0 || k.logText() != log {
				t.Errorf("the explanation had an effect: %d requests", len(ft.requests()))
			}
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(strings.Repeat("x", int(tt.bytes))))
			r.Host = "h"
			r.Header.Set("Id", "r1")
			for i := 0; i+1 < len(tt.headers); i += 2 {
				r.Header.Set(tt.headers[i], tt.headers[i+1])
			}
			k.gateway.ServeHTTP(w, r)
			if sent := len(ft.requests()) == 1; sent != (x.Next == nextSend) || (sent && x.Choice != ft.id) {
				t.Errorf("explained %s to %q, sent: %v", x.Next, x.Choice, sent)
			}
			if x.Next != nextSend && x.Status != w.Code {
				t.Errorf("explained status %d (%s), got %d", x.Status, x.Reason, w.Code)
			}
			got, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			for _, after := range []float64{got, x.RetryAfter.Seconds()} { // each has a random part of its own
				if after < tt.least.Seconds()-0.02 || after > tt.most.Seconds()+0.02 {
					t.Errorf("explained Retry-After %.3f, got %.3f, expected %s to %s", x.RetryAfter.Seconds(), got, tt.least, tt.most)
				}
			}
		})
	}
}

// TestExplainedQuota guards against explanations that spend credit or differ from the
// decision on a request.
func TestExplainedQuota(t *testing.T) {
	tg := newTestGateway(t)
	w := limitWorkspace(tg, routing.Quota{PerSecond: 3200, Burst: 3200, Unit: routing.Tokens, PlainTokens: 70})
	now := time.Now()
	explain := func(tokens int) Explanation {
		var x Explanation
		tg.gateway.explainQuota(now, &x, tg.callOf(w, tokens))
		return x
	}
	if x := explain(90); x.Quota.Known || len(x.Unchecked) != 1 {
		t.Errorf("a quota without an account: %+v", x)
	}
	if _, reason := tg.gateway.spendCredit(t.Context(), tg.callOf(w, 20)); reason != "" {
		t.Fatal(reason)
	}
	time.Sleep(1100 * time.Millisecond) // until the entryd spends its part of the rate
	for range 5 {
		if x := explain(40); !x.Quota.Admitted || x.Next != "" {
			t.Fatalf("a request within the credit: %+v", x)
		}
		if x := explain(900); x.Quota.Admitted || x.Status != http.StatusTooManyRequests || x.RetryAfter <= 0 {
			t.Fatalf("a request over the quota: %+v", x)
		}
	}
	for _, tt := range []struct {
		tokens int
		reason string
	}{{40, ""}, {900, reasonOverQuota}} {
		if _, reason := tg.gateway.spendCredit(t.Context(), tg.callOf(w, tt.tokens)); reason != tt.reason {
			t.Errorf("a request of %d tokens got %q", tt.tokens, reason)
		}
	}
}

// explainUnderLoad compares the explanation of a request of a workspace with what the request
// then gets.
func explainUnderLoad(t *testing.T, k *keyedGateway, ft *fakeTarget, workspace string, prepare func()) Explanation {
	t.Helper()
	prepare()
	log, order := k.logText(), orderStateOf(k.gateway)
	x := k.explained(time.Now(), "/once/x", 4, "Id", "r1", "Model", "m", "Key", workspace+"-key")
	if len(ft.requests()) != 0 || k.logText() != log || orderStateOf(k.gateway) != order {
		t.Errorf("the explanation had an effect: %d requests, order %s, log %s", len(ft.requests()), orderStateOf(k.gateway), k.logText())
	}
	prepare()
	got := k.call(t, "/once/x", "Model", "m", "Key", workspace+"-key")
	if sent := len(ft.requests()) == 1; sent != (x.Next == nextSend) || (!sent && x.Status != got.status) {
		t.Errorf("explained %s with status %d, got status %d, sent: %v", x.Next, x.Status, got.status, sent)
	}
	if x.Next == nextReject && !strings.Contains(k.logText(), `"reason":"`+x.Reason+`"`) {
		t.Errorf("explained reason %s, logged %s", x.Reason, k.logText())
	}
	return x
}

// TestExplainedOrder guards against explanations of another order under load than requests
// get: without the rejection by the forecast, the shares, or the urgency of the workspace.
func TestExplainedOrder(t *testing.T) {
	newGateway := func(t *testing.T) (*keyedGateway, *fakeTarget) {
		ft := newFakeTarget(t, "t1", sendEvents(1, 2, true))
		k := newKeyedGateway(t, ft)
		k.list("4 busy:busy-key calm:calm-key")
		k.exhaust(k.gateway.order.sharesOf("s"))
		return k, ft
	}
	t.Run("rejected by the forecast", func(t *testing.T) {
		k, ft := newGateway(t)
		x := explainUnderLoad(t, k, ft, "calm", func() { k.setBacklog("t1", 4*time.Second) })
		if x.Reason != overload.Overloaded.String() || x.Standing != "within" || x.WaitLimit <= 0 || x.WaitLimit >= x.Wait {
			t.Errorf("explained %s %s, standing %s, wait %s of %s", x.Next, x.Reason, x.Standing, x.Wait, x.WaitLimit)
		}
		if x.RetryAfter < shortRetryAfter || x.RetryAfter > x.Timeout/retryAfterDivisor {
			t.Errorf("explained Retry-After %s", x.RetryAfter)
		}
	})
	t.Run("above its share", func(t *testing.T) {
		k, ft := newGateway(t)
		x := explainUnderLoad(t, k, ft, "busy", func() { k.setBacklog("t1", 400*time.Millisecond) })
		if x.Reason != overload.AboveShare.String() || x.Standing != "above" || !strings.Contains(explanationText(x), "share: above") {
			t.Errorf("explained %s %s: %s", x.Next, x.Reason, explanationText(x))
		}
		if x.RetryAfter < 200*time.Millisecond || x.RetryAfter > 600*time.Millisecond {
			t.Errorf("explained Retry-After %s", x.RetryAfter)
		}
	})
	t.Run("no room for a workspace that fills the process", func(t *testing.T) {
		const size = 16
		for workspace, want := range map[string]string{"busy": nextReject, "calm": nextSend} {
			k, ft := newGateway(t)
			k.gateway.admission = newAdmissionControl(reservedDescriptors+size*requestDescriptors, 0)
			cfg := k.gateway.Configuration.Load()
			busy, _ := cfg.WorkspaceNamed("busy")
			for p, _ := k.gateway.admission.enter(time.Now(), cfg, busy); p != nil; {
				p, _ = k.gateway.admission.enter(time.Now(), cfg, busy)
			}
			x := explainUnderLoad(t, k, ft, workspace, func() { k.setBacklog("t1", 0) })
			if x.Next != want || (want == nextReject && (x.Reason != reasonNoRoom || x.RetryAfter < shortRetryAfter || x.RetryAfter > shortRetryAfter*3/2)) {
				t.Errorf("%s: explained %s %s, Retry-After %s", workspace, x.Next, x.Reason, x.RetryAfter)
			}
		}
	})
	t.Run("urgency of a workspace", func(t *testing.T) {
		for workspace, want := range map[string]int{"busy": 1, "calm": 0} {
			k, ft := newGateway(t)
			x := explainUnderLoad(t, k, ft, workspace, func() { k.setBacklog("t1", 120*time.Millisecond) })
			if got := ft.requests(); len(got) != 1 || x.Urgency != want || got[0].Header.Get("Urgency") != strconv.Itoa(x.Urgency) {
				t.Errorf("%s: explained urgency %d, expected %d, sent %v", workspace, x.Urgency, want, got)
			}
		}
	})
}
