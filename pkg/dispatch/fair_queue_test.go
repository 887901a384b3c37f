package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// startAll starts and finishes all startable requests and returns their names in
// the order in which they started.
func startAll(d *Dispatcher, now time.Time) []string {
	var names []string
	for {
		actions := d.Next(now)
		if len(actions) == 0 {
			return names
		}
		for _, a := range actions {
			names = append(names, a.Request.Key.Request)
			d.Finished(now, a.Request.Key)
		}
	}
}

func TestFairQueue(t *testing.T) {
	convey.Convey("Teams share slots by weight, independent of the order of submission", t, func() {
		d := New(Limits{Owner: "own", Slots: 1, Adapters: 1, Queue: 200}, fixedQuotas{"own": 2, "borrower": 1})
		for n := range 30 {
			d.Submit(start, request("b"+strconv.Itoa(n), "borrower", ""))
		}
		for n := range 30 {
			d.Submit(start, request("o"+strconv.Itoa(n), "own", ""))
		}
		own := 0
		for _, name := range startAll(d, start)[:30] {
			if name[0] == 'o' {
				own++
			}
		}
		convey.So(own, convey.ShouldBeBetweenOrEqual, 19, 21)
	})
	convey.Convey("A request of higher priority overtakes only requests that arrived within priorityStep", t, func() {
		d := New(Limits{Owner: "own", Slots: 1, Adapters: 1, Queue: 9}, fixedQuotas{"own": 1})
		long := func(name string, priority int8) *Request {
			r := request(name, "own", "")
			r.StartBy = start.Add(time.Hour)
			r.Priority = priority
			return r
		}
		d.Submit(start, long("old", 0))
		d.Submit(start.Add(time.Second), long("high", 1))
		d.Submit(start.Add(3*priorityStep), long("late", 1))
		convey.So(startAll(d, start.Add(3*priorityStep)), convey.ShouldResemble, []string{"high", "old", "late"})
	})
	convey.Convey("A request near its deadline overtakes earlier ones", t, func() {
		d := New(Limits{Owner: "own", Slots: 1, Adapters: 1, Queue: 9}, fixedQuotas{"own": 1})
		distant, near := request("distant", "own", ""), request("near", "own", "")
		distant.StartBy, near.StartBy = start.Add(time.Hour), start.Add(2*time.Second)
		d.Submit(start, distant)
		d.Submit(start.Add(time.Second), near)
		convey.So(startAll(d, start.Add(time.Second)), convey.ShouldResemble, []string{"near", "distant"})
	})
	convey.Convey("Borrowers together use no more than the lent slots", t, func() {
		d := New(Limits{Owner: "own", Slots: 4, Adapters: 4, Queue: 40}, fixedQuotas{"own": 4, "borrower1": 2, "borrower2": 2})
		for n := range 3 {
			d.Submit(start, request("a"+strconv.Itoa(n), "borrower1", ""))
			d.Submit(start, request("b"+strconv.Itoa(n), "borrower2", ""))
		}
		convey.So(d.Next(start), convey.ShouldHaveLength, 2)
		d.Submit(start, request("o1", "own", ""))
		d.Submit(start, request("o2", "own", ""))
		convey.So(d.Next(start), convey.ShouldHaveLength, 2)
	})
	convey.Convey("A borrower can't fill the queue: space is left for other teams", t, func() {
		d := New(Limits{Owner: "own", Slots: 4, Adapters: 4, Queue: 16}, fixedQuotas{"own": 4, "borrower1": 2, "borrower2": 2})
		refused := 0
		for n := range 30 {
			if d.Submit(start, request("a"+strconv.Itoa(n), "borrower1", "")) == outcome.Overloaded {
				refused++
			}
		}
		convey.So(refused, convey.ShouldEqual, 22)
		convey.So(d.Submit(start, request("b", "borrower2", "")), convey.ShouldEqual, outcome.NoReason)
		convey.So(d.Submit(start, request("o", "own", "")), convey.ShouldEqual, outcome.NoReason)
	})
}
