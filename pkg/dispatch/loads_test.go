package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// fixedBudget is a budget with a fixed number of permits.
type fixedBudget struct{ permits int }

func (b *fixedBudget) TakePermit(time.Time, LoadNeed) bool {
	if b.permits == 0 {
		return false
	}
	b.permits--
	return true
}

func (b *fixedBudget) NextPermit(now time.Time) time.Time { return now.Add(time.Second) }
func (b *fixedBudget) Done(time.Time)                     {}

func idOf(team, name string) adapter.ID { return request("", team, name).Adapter }

// serve runs one request to completion, loading its adapter if necessary.
func serve(d *Dispatcher, now time.Time, name, team, ad string) {
	r := request(name, team, ad)
	r.StartBy = now.Add(time.Minute)
	d.Submit(now, r)
	for range 4 {
		for _, a := range d.Next(now) {
			switch a.Kind {
			case Load:
				d.Loaded(now, a.Adapter, true)
			case Unload:
				d.Unloaded(a.Adapter)
			}
		}
	}
	d.Finished(now, r.Key)
}

func TestLoads(t *testing.T) {
	convey.Convey("Single requests for other adapters do not evict an adapter in demand", t, func() {
		d := New(Limits{Owner: "own", Slots: 4, Adapters: 2, Queue: 9}, fixedQuotas{"own": 4})
		now := start
		for n := range 5 {
			serve(d, now, "hot"+strconv.Itoa(n), "own", "hot")
		}
		serve(d, now.Add(time.Second), "one", "own", "one")
		serve(d, now.Add(2*time.Second), "two", "own", "two")
		convey.So(d.Resident(), convey.ShouldResemble, []adapter.ID{idOf("own", "hot"), idOf("own", "two")})
	})
	convey.Convey("Nothing is evicted without a load permit, and one permit evicts one adapter", t, func() {
		d := New(Limits{Owner: "own", Slots: 4, Adapters: 2, Queue: 9}, fixedQuotas{"own": 4})
		serve(d, start, "1", "own", "a")
		serve(d, start, "2", "own", "b")
		budget := &fixedBudget{}
		d.SetBudget(budget)
		d.Submit(start, request("3", "own", "c"))
		d.Submit(start, request("4", "own", "d"))
		convey.So(d.Next(start), convey.ShouldBeEmpty)
		convey.So(d.NextDeadline(start), convey.ShouldEqual, start.Add(time.Second))
		budget.permits = 1
		actions := d.Next(start)
		convey.So(kinds(actions), convey.ShouldResemble, []ActionKind{Unload})
		d.Unloaded(actions[0].Adapter)
		convey.So(kinds(d.Next(start)), convey.ShouldResemble, []ActionKind{Load})
		convey.So(d.Next(start), convey.ShouldBeEmpty)
	})
	convey.Convey("Requests for a resident adapter overtake one that waits for a load for at most maxBypassTime", t, func() {
		d := New(Limits{Owner: "own", Slots: 2, Adapters: 1, Queue: 9}, fixedQuotas{"own": 2})
		serve(d, start, "0", "own", "a")
		d.Submit(start, request("1", "own", "a"))
		d.Next(start)
		d.Submit(start, request("2", "own", "b"))
		d.Submit(start, request("3", "own", "a"))
		convey.So(kinds(d.Next(start)), convey.ShouldResemble, []ActionKind{Start})
		d.Finished(start, RequestKey{"1", 1})
		late := start.Add(maxBypassTime)
		fourth, second := request("4", "own", "a"), d.queue.teams[0].items[0].request
		fourth.StartBy, second.StartBy = late.Add(time.Minute), late.Add(time.Minute)
		d.Next(late)
		d.Submit(late, fourth)
		convey.So(d.Next(late), convey.ShouldBeEmpty)
		d.Finished(late, RequestKey{"3", 1})
		convey.So(kinds(d.Next(late)), convey.ShouldResemble, []ActionKind{Unload})
	})
	convey.Convey("After a failed load, requests for that adapter only are refused until the backoff has passed", t, func() {
		d := newDispatcher()
		d.Submit(start, request("1", "own", "a"))
		d.Next(start)
		convey.So(kinds(d.Loaded(start, idOf("own", "a"), false)), convey.ShouldResemble, []ActionKind{Refuse})
		convey.So(d.Submit(start, request("2", "own", "a")), convey.ShouldEqual, outcome.LoadFailed)
		convey.So(d.Submit(start, request("3", "own", "b")), convey.ShouldEqual, outcome.NoReason)
		again := start.Add(minBackoff)
		convey.So(d.Submit(again, request("4", "own", "a")), convey.ShouldEqual, outcome.NoReason)
	})
	convey.Convey("After an engine restart, adapters that requests wait for are loaded first, then others by demand", t, func() {
		d := New(Limits{Owner: "own", Slots: 4, Adapters: 2, Queue: 9}, fixedQuotas{"own": 4})
		for n, ad := range []string{"hot", "hot", "hot", "warm", "warm", "cold"} {
			serve(d, start, strconv.Itoa(n), "own", ad)
		}
		d.EngineRestarted()
		now := start.Add(time.Second)
		waiting := request("w", "own", "other")
		waiting.StartBy = now.Add(time.Minute)
		d.Submit(now, waiting)
		actions := d.Next(now)
		convey.So(actions, convey.ShouldResemble, []Action{{Kind: Load, Adapter: idOf("own", "other")}})
		d.Loaded(now, idOf("own", "other"), true)
		actions = d.Next(now)
		convey.So(kinds(actions), convey.ShouldResemble, []ActionKind{Start, Load})
		convey.So(actions[1].Adapter, convey.ShouldResemble, idOf("own", "hot"))
	})
	convey.Convey("Borrowers' adapters use no more than the lent share of adapter slots", t, func() {
		d := New(Limits{Owner: "own", Slots: 4, Adapters: 4, Queue: 40}, fixedQuotas{"own": 4, "borrower": 2})
		for n := range 3 {
			serve(d, start, "o"+strconv.Itoa(n), "own", "o"+strconv.Itoa(n))
		}
		for n := range 20 {
			serve(d, start.Add(time.Second), "b"+strconv.Itoa(n), "borrower", "b"+strconv.Itoa(n%7))
		}
		borrowed := 0
		for _, id := range d.Resident() {
			if id.Team == "borrower" {
				borrowed++
			}
		}
		convey.So(borrowed, convey.ShouldBeBetweenOrEqual, 1, 2)
	})
}
