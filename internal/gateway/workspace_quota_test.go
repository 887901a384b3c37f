package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/quota"
	"github.com/borageusher/borageusher/pkg/routing"
)

// limitWorkspace enforces a quota of the workspace "w" at the gateway, which has no targetd
// as issuer.
func limitWorkspace(tg *testGateway, q routing.Quota) *routing.Workspace {
	w := routing.Workspace{Name: "w", Quota: q}
	var ws routing.Workspaces
	ws.Add(w, nil)
	cfg := routing.New(4, testRoutes(), []routing.Service{{Name: "s"}}, routing.Limits{BodyBytes: 1000})
	cfg.SetWorkspaces(ws)
	current := &atomic.Pointer[routing.Configuration]{}
	current.Store(cfg)
	tg.gateway.Credit = credit.NewAccounts(credit.AccountOptions{
		Fleet:         tg.fleet,
		Bounds:        quota.Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 6400}, // an overdraft of 100 units
		Configuration: current,
		Now:           credit.Now,
		Log:           event.Discard(),
		Scope:         tally.NoopScope,
	})
	return &w
}

// callOf returns a call of a workspace.
func (tg *testGateway) callOf(w *routing.Workspace, tokens int) *call {
	routes := testRoutes()
	r := httptest.NewRequest(http.MethodPost, "/safe/x", nil)
	c := newCall(time.Now(), RequestMeta{ID: "r1", PromptTokens: tokens}, &routes[0], "s", r, nil)
	c.workspace = w
	return c
}

func TestQuota(t *testing.T) {
	convey.Convey("Given a workspace with a quota of tokens", t, func() {
		tg := newTestGateway(t)
		w := limitWorkspace(tg, routing.Quota{PerSecond: 3200, Burst: 3200, Unit: routing.Tokens, PlainTokens: 70})
		convey.Convey("a call over the quota gets 429 and a time at which there is credit", func() {
			charge, reason := tg.gateway.spendCredit(t.Context(), tg.callOf(w, 90))
			convey.So(reason, convey.ShouldEqual, "")
			c := tg.callOf(w, 400)
			time.Sleep(1100 * time.Millisecond) // until the entryd spends its part of the rate
			_, reason = tg.gateway.spendCredit(t.Context(), c)
			convey.So(reason, convey.ShouldEqual, reasonOverQuota)
			w := httptest.NewRecorder()
			tg.gateway.respondFailure(context.Background(), w, c, reason)
			convey.So(w.Code, convey.ShouldEqual, http.StatusTooManyRequests)
			after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			convey.So(err, convey.ShouldBeNil)
			convey.So(after, convey.ShouldBeGreaterThan, 1) // 300 tokens at 100 a second, of which some are due
			convey.So(tg.logText(), convey.ShouldContainSubstring, reasonOverQuota)
			tg.gateway.refundCredit(tg.callOf(nil, 0), charge)
		})
		convey.Convey("the credit of a call that did not run is used by the next, that of one that may have run is not", func() {
			for _, runs := range []int{0, 0, 1} {
				c := tg.callOf(w, 90)
				charge, reason := tg.gateway.spendCredit(t.Context(), c)
				convey.So(reason, convey.ShouldEqual, "")
				c.possibleRuns = runs
				tg.gateway.refundCredit(c, charge)
			}
			_, reason := tg.gateway.spendCredit(t.Context(), tg.callOf(w, 90))
			convey.So(reason, convey.ShouldNotEqual, "")
		})
		convey.Convey("a call without a workspace, or of one without a quota, costs nothing", func() {
			for _, w := range []*routing.Workspace{nil, {Name: "free"}} {
				for range 10 {
					_, reason := tg.gateway.spendCredit(t.Context(), tg.callOf(w, 9000))
					convey.So(reason, convey.ShouldEqual, "")
				}
			}
		})
	})
}

// Entryds that choose different issuers in spite of the same connections would exceed the
// quota.
func TestCreditIssuers(t *testing.T) {
	convey.Convey("Given two entryds that know the same targets in any order", t, func() {
		one, two := newTestGateway(t), newTestGateway(t)
		ids := []string{"t1", "t2", "t3", "t4"}
		for i, id := range ids {
			vt := newVersionedTarget(t, id, "a", "v1", 0)
			addr := newTargetd(t, id)
			for _, tg := range []*testGateway{one, two} {
				tg.list(vt)
				tg.fleet.mu.Lock()
				tg.fleet.targets[id].vmHash = uint64(1000 + i) // all targets of the test have the same VM
				tg.fleet.targets[id].closeConn = func() {}
				tg.fleet.mu.Unlock()
				connectTargetd(t.Context(), t, tg, id, addr, "e1")
			}
		}
		convey.Convey("they choose the same issuer, which is the first choice", func() {
			seen := map[string]bool{}
			for key := range uint64(50) {
				i := one.fleet.CreditIssuers([]uint64{key})[0]
				convey.So(i.Conn != nil, convey.ShouldBeTrue) // ShouldNotBeNil prints the connection, which is in use
				convey.So(i.First, convey.ShouldBeTrue)
				convey.So(two.fleet.CreditIssuers([]uint64{key})[0].Name, convey.ShouldEqual, i.Name)
				seen[i.Name] = true
			}
			convey.So(len(seen), convey.ShouldEqual, len(ids))
		})
		convey.Convey("the next one replaces a lost one, and is not the first choice as long as that is listed", func() {
			i := one.fleet.CreditIssuers([]uint64{1})[0]
			one.fleet.mu.Lock()
			one.fleet.targets[i.Name].conn = nil
			one.fleet.mu.Unlock()
			next := one.fleet.CreditIssuers([]uint64{1})[0]
			convey.So(next.Name, convey.ShouldNotEqual, i.Name)
			convey.So(next.First, convey.ShouldBeFalse)
			one.fleet.mu.Lock()
			one.fleet.targets[i.Name].notice.leaving = true
			one.fleet.mu.Unlock()
			convey.So(one.fleet.CreditIssuers([]uint64{1})[0].First, convey.ShouldBeTrue)
		})
	})
}
