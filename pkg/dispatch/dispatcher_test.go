package dispatch

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixedQuotas maps each team to the number of slots that it may use.
type fixedQuotas map[string]int

func (q fixedQuotas) SlotsFor(team string) int { return q[team] }

func request(name, team, ad string) *Request {
	r := &Request{Key: RequestKey{Request: name, Attempt: 1}, Team: team, StartBy: start.Add(time.Second)}
	if ad != "" {
		r.Adapter = adapter.ID{Team: team, Ref: adapter.Ref{Name: ad, Version: 1}}
	}
	return r
}

func kinds(actions []Action) []ActionKind {
	var out []ActionKind
	for _, a := range actions {
		out = append(out, a.Kind)
	}
	return out
}

func newDispatcher() *Dispatcher {
	return New(Limits{Owner: "own", Slots: 2, Adapters: 1, Queue: 3}, fixedQuotas{"own": 2, "borrower": 1})
}

func TestDispatcher(t *testing.T) {
	convey.Convey("A request waits for its adapter and then starts", t, func() {
		d := newDispatcher()
		convey.So(d.Submit(start, request("r1", "own", "a")), convey.ShouldEqual, outcome.NoReason)
		convey.So(d.Submit(start, request("r2", "own", "a")), convey.ShouldEqual, outcome.NoReason)
		convey.So(kinds(d.Next(start)), convey.ShouldResemble, []ActionKind{Load})
		d.Loaded(start, request("r1", "own", "a").Adapter, true)
		convey.So(kinds(d.Next(start)), convey.ShouldResemble, []ActionKind{Start, Start})
		convey.So(d.Report(), convey.ShouldResemble, Report{Running: 2})
	})
	convey.Convey("A borrower never uses more than its quota, and a team without a quota is refused", t, func() {
		d := newDispatcher()
		d.Submit(start, request("b1", "borrower", ""))
		d.Submit(start, request("b2", "borrower", ""))
		d.Submit(start, request("o1", "own", ""))
		convey.So(kinds(d.Next(start)), convey.ShouldResemble, []ActionKind{Start, Start})
		convey.So(d.byTeam, convey.ShouldResemble, map[string]int{"borrower": 1, "own": 1})
		convey.So(d.Submit(start, request("x", "unlisted", "")), convey.ShouldEqual, outcome.OverQuota)
	})
	convey.Convey("A request whose start-by time has passed is refused, never started", t, func() {
		d := newDispatcher()
		d.Submit(start, request("r1", "own", ""))
		late := start.Add(time.Second)
		convey.So(d.NextDeadline(start), convey.ShouldEqual, late)
		convey.So(kinds(d.Next(late)), convey.ShouldResemble, []ActionKind{Refuse})
		convey.So(d.Submit(late, request("r2", "own", "")), convey.ShouldEqual, outcome.Expired)
	})
	convey.Convey("A full queue refuses further requests", t, func() {
		d := newDispatcher()
		for _, name := range []string{"1", "2", "3"} {
			convey.So(d.Submit(start, request(name, "own", "a")), convey.ShouldEqual, outcome.NoReason)
		}
		convey.So(d.Submit(start, request("4", "own", "a")), convey.ShouldEqual, outcome.Overloaded)
	})
	convey.Convey("A drain refuses queued requests and keeps running ones", t, func() {
		d := newDispatcher()
		d.Submit(start, request("r1", "own", ""))
		d.Next(start)
		d.Submit(start, request("r2", "own", "a"))
		convey.So(kinds(d.Drain()), convey.ShouldResemble, []ActionKind{Refuse})
		convey.So(d.Submit(start, request("r3", "own", "")), convey.ShouldEqual, outcome.Draining)
		convey.So(d.Report(), convey.ShouldResemble, Report{Running: 1, Draining: true})
	})
	convey.Convey("A failed load refuses only the requests that waited for it", t, func() {
		d := newDispatcher()
		d.Submit(start, request("r1", "own", "a"))
		d.Next(start)
		d.Submit(start, request("r2", "own", "b"))
		actions := d.Loaded(start, request("", "own", "a").Adapter, false)
		convey.So(len(actions), convey.ShouldEqual, 1)
		convey.So(actions[0].Request.Key.Request, convey.ShouldEqual, "r1")
	})
	convey.Convey("An adapter in use is not evicted for another request", t, func() {
		d := newDispatcher()
		d.Submit(start, request("r1", "own", "a"))
		d.Next(start)
		d.Loaded(start, request("", "own", "a").Adapter, true)
		d.Next(start)
		d.Submit(start, request("r2", "own", "b"))
		convey.So(d.Next(start), convey.ShouldBeEmpty)
		d.Finished(start, RequestKey{"r1", 1})
		convey.So(kinds(d.Next(start)), convey.ShouldResemble, []ActionKind{Unload})
	})
}
