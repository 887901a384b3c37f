package credit

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quota"
	"github.com/borageusher/borageusher/pkg/routing"
)

var testBounds = quota.Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 110_000}

// fakeFleet has one issuer.
type fakeFleet struct {
	mu      sync.Mutex
	issuer  Issuer
	entryds int
}

func (f *fakeFleet) CreditIssuers(keys []uint64) []Issuer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Repeat([]Issuer{f.issuer}, len(keys))
}

func (f *fakeFleet) EntrydCount() int { return f.entryds }

func (f *fakeFleet) set(i Issuer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issuer = i
}

// testEntryd is an entryd with a connection to a targetd.
type testEntryd struct {
	accounts *Accounts
	fleet    *fakeFleet
	cfg      *atomic.Pointer[routing.Configuration]
	conn     *peer.Conn
}

// configurationOf returns a configuration of workspaces with quotas.
func configurationOf(version int64, quotas map[string]routing.Quota) *routing.Configuration {
	cfg := routing.New(version, nil, nil, routing.Limits{})
	var ws routing.Workspaces
	for name, q := range quotas {
		ws.Add(routing.Workspace{Name: name, Quota: q}, nil)
	}
	cfg.SetWorkspaces(ws)
	return cfg
}

// startTargetd serves issuers that began a minute ago and counts the requests.
func startTargetd(t *testing.T, requests *atomic.Int32) netip.AddrPort {
	t.Helper()
	issuers := NewIssuers(Now().Add(-time.Minute), testBounds, event.Discard(), tally.NoopScope)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer.AnnounceCredit(w.Header())
		c, err := peer.Accept(w, r, peer.Identity{Name: "t1", Role: "targetd"}, peer.Key("k"))
		if err != nil {
			return
		}
		_ = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{} }, func(m peer.Message) { // ends with the test
			if m, ok := m.(peer.CreditRequest); ok {
				requests.Add(1)
				_, _ = c.Send(issuers.Request(Now(), c.Remote().Name, 2, m))
			}
		})
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// startEntryd starts an entryd whose workspace "w" has a quota.
func startEntryd(t *testing.T, name string, targetd netip.AddrPort, q routing.Quota) *testEntryd {
	t.Helper()
	d := peer.Dialer{Self: peer.Identity{Name: name, Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
	conn, err := d.Dial(t.Context(), targetd)
	if err != nil {
		t.Fatal(err)
	}
	e := &testEntryd{fleet: &fakeFleet{entryds: 2}, cfg: &atomic.Pointer[routing.Configuration]{}, conn: conn}
	e.cfg.Store(configurationOf(1, map[string]routing.Quota{"w": q, "free": {}}))
	e.accounts = newTestAccounts(e)
	e.fleet.set(Issuer{Conn: conn, Name: "t1", First: true})
	e.accounts.mu.Lock()
	e.accounts.applyConfiguration(Now())
	e.accounts.check(Now().Add(-time.Minute)) // so that the issuer has its burst
	e.accounts.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = conn.Run(ctx, func() peer.Heartbeat { return peer.Heartbeat{} }, func(m peer.Message) {
			if m, ok := m.(peer.CreditAnswer); ok {
				e.accounts.Apply(m)
			}
		})
		e.fleet.set(Issuer{})
		e.accounts.CheckIssuers()
	}()
	return e
}

func newTestAccounts(e *testEntryd) *Accounts {
	return NewAccounts(AccountOptions{
		Fleet: e.fleet, Bounds: testBounds, Configuration: e.cfg, Log: event.Discard(), Scope: tally.NoopScope, Now: Now,
	})
}

// admit asks for a request of the workspace w.
func (e *testEntryd) admit(units float64) Verdict {
	return e.accounts.Admit(context.Background(), &routing.Workspace{Name: "w"}, Cost{Units: units, Wait: 200 * time.Millisecond})
}

// spend sends requests in parallel for d and returns the units of those that were admitted.
func spend(d time.Duration, units float64, entryds ...*testEntryd) (admitted float64, rejected int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, e := range entryds {
			wg.Go(func() {
				v := e.admit(units)
				mu.Lock()
				defer mu.Unlock()
				if v.Admitted {
					admitted += units
				} else {
					rejected++
				}
			})
		}
	}
	wg.Wait()
	return admitted, rejected
}

func TestQuota(t *testing.T) {
	convey.Convey("Given two entryds whose callers send far more than the quota of 20,000 units a second", t, func() {
		var requests atomic.Int32
		addr := startTargetd(t, &requests)
		q := routing.Quota{PerSecond: 20_000, Burst: 20_000, Unit: routing.Tokens}
		a, b := startEntryd(t, "e1", addr, q), startEntryd(t, "e2", addr, q)
		convey.Convey("they spend it together, and not more than the bounds allow", func() {
			admitted, rejected := spend(2*time.Second, 1000, a, b)
			l := quota.Limit{PerSecond: q.PerSecond, Burst: q.Burst}
			convey.So(admitted, convey.ShouldBeBetween, 0.95*(2*l.PerSecond+l.Burst), testBounds.Allowed(l)-6*l.PerSecond)
			convey.So(rejected, convey.ShouldBeGreaterThan, 500)
			convey.Convey("and a rejected caller learns when to return, others at another time", func() {
				seen := map[time.Duration]bool{}
				for range 20 {
					if v := a.admit(9000); !v.Admitted {
						convey.So(v.Unanswered, convey.ShouldBeFalse)
						convey.So(v.RetryAfter, convey.ShouldBeBetween, 40*time.Millisecond, 15*time.Second)
						seen[v.RetryAfter] = true
					}
				}
				convey.So(len(seen), convey.ShouldBeGreaterThan, 5)
			})
		})
		convey.Convey("the first requests do not wait for the issuer", func() {
			began := time.Now()
			convey.So(a.admit(900).Admitted, convey.ShouldBeTrue)
			convey.So(time.Since(began), convey.ShouldBeLessThan, 20*time.Millisecond)
		})
		convey.Convey("an entryd that loses its issuer spends its part", func() {
			spend(300*time.Millisecond, 1000, a)
			a.conn.Close()
			spend(1500*time.Millisecond, 1000, a) // until it has no issuer for long enough
			admitted, _ := spend(2*time.Second, 1000, a)
			convey.So(admitted, convey.ShouldBeBetween, 500, 2*q.PerSecond/2+3000)
		})
		convey.Convey("a request that did not run gives its credit back once", func() {
			v := a.admit(900)
			balance := func() float64 {
				a.accounts.mu.Lock()
				defer a.accounts.mu.Unlock()
				return a.accounts.accounts["w"].Balance(Now())
			}
			time.Sleep(100 * time.Millisecond)
			before := balance()
			a.accounts.Refund(v.Charge)
			convey.So(balance(), convey.ShouldEqual, before+900)
			a.accounts.Refund(v.Charge)
			convey.So(balance(), convey.ShouldEqual, before+900)
		})
		convey.Convey("a caller that leaves while its request waits takes no credit", func() {
			a.fleet.set(Issuer{})
			a.accounts.CheckIssuers()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			v := a.accounts.Admit(ctx, &routing.Workspace{Name: "w"}, Cost{Units: 90_000, Wait: time.Second})
			convey.So(v.Admitted, convey.ShouldBeFalse)
			a.accounts.mu.Lock()
			defer a.accounts.mu.Unlock()
			convey.So(len(a.accounts.accounts["w"].waiters), convey.ShouldEqual, 0)
		})
		convey.Convey("a configuration without the quota ends it", func() {
			spend(100*time.Millisecond, 1000, a)
			a.cfg.Store(configurationOf(2, map[string]routing.Quota{"w": {}}))
			_, rejected := spend(100*time.Millisecond, 9000, a)
			convey.So(rejected, convey.ShouldEqual, 0)
			convey.So(len(a.accounts.accounts), convey.ShouldEqual, 0)
		})
	})
}

// Nothing may be sent for workspaces without a quota or without demand.
func TestNothingSentWithoutDemand(t *testing.T) {
	convey.Convey("An entryd sends nothing without demand for a workspace with a quota", t, func() {
		var requests atomic.Int32
		e := startEntryd(t, "e1", startTargetd(t, &requests), routing.Quota{PerSecond: 20_000, Burst: 20_000})
		for range 20 {
			v := e.accounts.Admit(t.Context(), &routing.Workspace{Name: "free"}, Cost{Units: 1e9})
			convey.So(v.Admitted, convey.ShouldBeTrue)
		}
		e.accounts.CheckIssuers()
		time.Sleep(200 * time.Millisecond)
		convey.So(requests.Load(), convey.ShouldEqual, 0)
		convey.Convey("and again some time after the last request", func() {
			spend(200*time.Millisecond, 10, e)
			convey.So(requests.Load(), convey.ShouldBeGreaterThan, 0)
			time.Sleep(1500 * time.Millisecond)
			sent := requests.Load()
			time.Sleep(time.Second)
			convey.So(requests.Load(), convey.ShouldEqual, sent)
		})
		convey.Convey("but states that there is none to an issuer that is not the first choice", func() {
			e.fleet.set(Issuer{Conn: e.conn, Name: "t1"})
			e.accounts.CheckIssuers()
			time.Sleep(1200 * time.Millisecond)
			convey.So(requests.Load(), convey.ShouldBeBetween, 1, 4)
		})
	})
}

// The issuer of a workspace must count the entryds that may spend their parts without it.
func TestMembers(t *testing.T) {
	convey.Convey("A lost entryd counts for memberTime", t, func() {
		var m members
		now := Now()
		convey.So(m.observe(now, 21), convey.ShouldEqual, 21)
		convey.So(m.observe(now.Add(memberTime), 10), convey.ShouldEqual, 21)
		convey.So(m.observe(now.Add(memberTime+1), 10), convey.ShouldEqual, 10)
		convey.So(m.observe(now.Add(memberTime+2), 11), convey.ShouldEqual, 11)
	})
}

// Issuers issued a part of the rate after a start of all processes, because the entryds
// chose them only at the first request of a caller.
func TestIssuerChosenBeforeFirstRequest(t *testing.T) {
	e := &testEntryd{fleet: &fakeFleet{entryds: 2}, cfg: &atomic.Pointer[routing.Configuration]{}}
	e.accounts = newTestAccounts(e)
	e.fleet.set(Issuer{Conn: &peer.Conn{}, Name: "t1", First: true})
	e.cfg.Store(configurationOf(1, map[string]routing.Quota{"w": {PerSecond: 1000, Burst: 1000}}))
	before := Now()
	e.accounts.CheckIssuers()
	e.accounts.mu.Lock()
	defer e.accounts.mu.Unlock()
	if len(e.accounts.accounts) != 1 {
		t.Fatalf("%d accounts, want 1", len(e.accounts.accounts))
	}
	now := before.Add(time.Minute)
	if age := e.accounts.groups[0].term.Age(now); age > time.Minute || age < 59*time.Second {
		t.Errorf("the issuer was chosen %s ago, want a minute", age)
	}
}

// A store that lost a configuration gives its version out again. The limits of the later
// one with that version must be enforced, and reach the issuer.
func TestVersionGivenOutAgain(t *testing.T) {
	var requests atomic.Int32
	e := startEntryd(t, "e1", startTargetd(t, &requests), routing.Quota{PerSecond: 20_000, Burst: 20_000})
	e.admit(900)
	e.cfg.Store(configurationOf(1, map[string]routing.Quota{"w": {PerSecond: 1000, Burst: 1000}}))
	e.admit(900)
	e.accounts.mu.Lock()
	defer e.accounts.mu.Unlock()
	if l := e.accounts.accounts["w"].Limit(); l.PerSecond != 1000 || l.Burst != 1000 {
		t.Errorf("limit %+v, want 1000 units a second", l)
	}
}
