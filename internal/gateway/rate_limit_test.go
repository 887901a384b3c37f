package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/enginecontroller"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of the test's deployment, a quarter of those of the users' deployments.
const (
	testLimitWindow = time.Second
	testLimitGrace  = 125 * time.Millisecond // after a target first stated its limit
)

// limitedTarget is a target that may limit its request rate.
type limitedTarget struct {
	id     string
	server *httptest.Server

	mu       sync.Mutex
	rate     float64   // zero for no limit
	since    time.Time // beginning of the limit
	arrivals []time.Time
}

func newLimitedTarget(t *testing.T, id string) *limitedTarget {
	lt := &limitedTarget{id: id}
	lt.server = httptest.NewServer(http.HandlerFunc(lt.serve))
	t.Cleanup(lt.server.Close)
	return lt
}

func (lt *limitedTarget) serve(w http.ResponseWriter, r *http.Request) {
	lt.mu.Lock()
	lt.arrivals = append(lt.arrivals, time.Now())
	rate := lt.rate
	lt.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if rate > 0 {
		w.Header().Set("Rate-Limit", strconv.FormatFloat(rate, 'f', -1, 64))
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	_, _ = w.Write([]byte("good"))
}

// limit begins a limit, or ends it if rate is zero.
func (lt *limitedTarget) limit(rate float64) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.rate, lt.since = rate, time.Now()
}

// arrivalsIn returns the number of requests from a time on.
func (lt *limitedTarget) arrivalsIn(from time.Time, d time.Duration) int {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	n := 0
	for _, at := range lt.arrivals {
		if !at.Before(from) && at.Before(from.Add(d)) {
			n++
		}
	}
	return n
}

// replica returns the target's entry.
func (lt *limitedTarget) replica(service string) target.Replica {
	addr := netip.MustParseAddrPort(lt.server.Listener.Addr().String())
	return target.Replica{ID: lt.id, Service: service, Addr: addr, Zone: "a", Slots: 16, State: target.Live}
}

// idleEngine is an engine that holds the model m and gets no orders.
type idleEngine struct{}

func (idleEngine) Report(context.Context) (orders.Report, orders.Notice, error) {
	return orders.Report{Started: 1, Models: []orders.Model{{Name: "m"}}}, orders.Notice{}, nil
}

func (idleEngine) Order(context.Context, string, int64, orders.Order) (orders.Notice, error) {
	return orders.Notice{}, nil
}

func (idleEngine) IsRejected(error) bool { return false }

// addTargetd starts a targetd beside the target with the given id and connects the
// gateways to it. It returns a function that ends their connections.
func addTargetd(t *testing.T, id string, gateways ...*testGateway) (disconnect func()) {
	t.Helper()
	ec := enginecontroller.New(enginecontroller.Options{
		Self: peer.Identity{Name: id, Role: "targetd"}, Key: peer.Key("k"), Engine: idleEngine{}, Log: event.Discard(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	srv := httptest.NewServer(ec)
	go ec.Run(ctx)
	t.Cleanup(srv.Close)
	t.Cleanup(cancel)
	for i, tg := range gateways {
		connectTargetd(ctx, t, tg, id, netip.MustParseAddrPort(srv.Listener.Addr().String()), fmt.Sprint("e", i))
	}
	return cancel
}

// connectTargetd connects a gateway to the targetd beside a target and waits for the
// engine's state.
func connectTargetd(ctx context.Context, t *testing.T, tg *testGateway, id string, addr netip.AddrPort, name string) {
	t.Helper()
	d := peer.Dialer{Self: peer.Identity{Name: name, Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
	c, err := d.Dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	tc := &targetdConns{ctx: ctx, fleet: tg.fleet, log: event.Discard(), onEngineDown: func(time.Time, string) {}}
	tc.onConfirmation = func(m peer.ConfirmationAnswer) { tg.gateway.Confirmations.applyAnswer(m) }
	ts := tg.fleet.targets[id]
	go func() { _ = tc.serve(ctx, ts, id, c) }() // ends with the test
	_, _ = c.Send(peer.EngineSpec{Instance: id, Started: 1, AdapterSlots: 4})
	connected := func() bool {
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		return ts.state.Reachable
	}
	if !eventually(connected) {
		t.Fatal("no state of the engine arrives")
	}
}

// limitedFleet is a service with limited targets behind three gateways, of which one
// gets most of the requests.
type limitedFleet struct {
	gateways []*testGateway
	targets  []*limitedTarget
	headers  []string // of all calls
	lose     []func() // each disconnects one targetd

	mu      sync.Mutex
	replies []limitedReply
}

// limitedReply is the result of one call.
type limitedReply struct {
	at   time.Time
	took time.Duration
	reply
}

// newLimitedFleet starts three targets. Their service has engines with a targetd each, is
// plain beside two engines of another service, or has no targetd at all.
func newLimitedFleet(t *testing.T, kind string) *limitedFleet {
	t.Helper()
	f := &limitedFleet{}
	for range 3 {
		f.gateways = append(f.gateways, newTestGateway(t))
	}
	list := func(lt *limitedTarget, service string) {
		for _, tg := range f.gateways {
			tg.fleet.mu.Lock()
			tg.fleet.upsert(time.Now(), lt.replica(service))
			tg.fleet.mu.Unlock()
		}
	}
	for i := range 3 {
		lt := newLimitedTarget(t, fmt.Sprint("t", i))
		f.targets = append(f.targets, lt)
		list(lt, "s")
		if kind == "engines" {
			f.lose = append(f.lose, addTargetd(t, lt.id, f.gateways...))
		}
	}
	switch kind {
	case "engines":
		f.headers = []string{"Model", "m"}
	case "plain":
		for i := range 2 {
			engine := newLimitedTarget(t, fmt.Sprint("other", i))
			list(engine, "other")
			addTargetd(t, engine.id, f.gateways...)
		}
	}
	return f
}

// send sends requests at a rate for a time and waits for the replies.
func (f *limitedFleet) send(t *testing.T, perSecond int, d time.Duration) {
	t.Helper()
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for began := time.Now(); time.Since(began) < d; <-ticker.C {
		tg := f.gateways[[]int{0, 0, 0, 0, 0, 0, 0, 1, 1, 2}[rand.IntN(10)]]
		wg.Add(1)
		go func() {
			defer wg.Done()
			at := time.Now()
			got := tg.call(t, "/unsafe/x", f.headers...)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.replies = append(f.replies, limitedReply{at, time.Since(at), got})
		}()
	}
	wg.Wait()
}

// check checks the bound of the users' rule for the arrivals up to a time at all limited
// targets.
func (f *limitedFleet) check(t *testing.T, until time.Time) {
	t.Helper()
	for _, lt := range f.targets {
		if lt.rate == 0 {
			continue
		}
		allowed := 1.5*lt.rate*testLimitWindow.Seconds() + 5
		most := 0
		for at := lt.since.Add(testLimitGrace); at.Add(testLimitWindow).Before(until); at = at.Add(10 * time.Millisecond) {
			most = max(most, lt.arrivalsIn(at, testLimitWindow))
		}
		t.Logf("%s: at most %d requests in %s, %.0f allowed", lt.id, most, testLimitWindow, allowed)
		if float64(most) > allowed {
			t.Errorf("%s, limited to %.1f requests a second, got %d in %s; %.0f allowed", lt.id, lt.rate, most, testLimitWindow, allowed)
		}
	}
}

// TestEntrydsExceedRateLimitTogether guards against entryds that together send a target
// more requests a second than it has said that it takes.
func TestEntrydsExceedRateLimitTogether(t *testing.T) {
	for _, kind := range []string{"engines", "plain", "no_targetd"} {
		t.Run(kind, func(t *testing.T) {
			f := newLimitedFleet(t, kind)
			f.send(t, 150, 300*time.Millisecond)
			f.targets[0].limit(20)
			f.send(t, 150, 2500*time.Millisecond)
			f.check(t, time.Now())
			for _, r := range f.replies {
				if r.status != 200 {
					t.Fatalf("a request got status %d after %s although two targets have no limit", r.status, r.took)
				}
			}
			f.targets[0].limit(0)
			f.send(t, 150, probeInterval+time.Second)
			if n := f.targets[0].arrivalsIn(time.Now().Add(-500*time.Millisecond), 500*time.Millisecond); n < 12 {
				t.Errorf("after its limit the target got %d of 75 requests", n)
			}
		})
	}
}

// TestRateLimitOutlivesIssuers guards against requests beyond the limit when the targetds
// that issue the permits are lost one after the other.
func TestRateLimitOutlivesIssuers(t *testing.T) {
	f := newLimitedFleet(t, "engines")
	f.send(t, 150, 300*time.Millisecond)
	for _, lt := range f.targets {
		lt.limit(20)
	}
	for i, lose := range f.lose {
		time.AfterFunc(time.Duration(i+1)*600*time.Millisecond, lose)
	}
	f.send(t, 150, 3*time.Second)
	f.check(t, time.Now())
}

// TestAllTargetsLimited guards against limits that go unused at entryds with few requests,
// and against requests that are held although they can't be sent in time.
func TestAllTargetsLimited(t *testing.T) {
	for _, kind := range []string{"engines", "plain"} {
		t.Run(kind, func(t *testing.T) {
			f := newLimitedFleet(t, kind)
			f.send(t, 150, 300*time.Millisecond)
			for _, lt := range f.targets {
				lt.limit(20)
			}
			from := time.Now().Add(500 * time.Millisecond)
			f.send(t, 150, 2500*time.Millisecond)
			f.check(t, time.Now())
			for _, lt := range f.targets {
				if n := lt.arrivalsIn(from, 2*time.Second); n < 32 {
					t.Errorf("%s got %d requests in 2 s, of the 40 that it takes", lt.id, n)
				}
			}
			refused := 0
			for _, r := range f.replies {
				if r.at.Before(from) || r.status == 200 {
					continue
				}
				refused++
				if r.status != 503 || r.header.Get("Retry-After") == "" {
					t.Fatalf("a request got status %d, Retry-After %q", r.status, r.header.Get("Retry-After"))
				}
				if objective := testRoutes()[0].Objective; r.took > objective+100*time.Millisecond {
					t.Errorf("a request was refused after %s; its objective is %s", r.took, objective)
				}
			}
			t.Logf("%d of %d requests refused", refused, len(f.replies))
		})
	}
}
