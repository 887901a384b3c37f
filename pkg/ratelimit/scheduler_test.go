package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

// grants returns the ids of the granted requests, and rejections those of the others.
func grants(decisions []Decision) (granted, rejected []uint64) {
	for _, d := range decisions {
		if d.Granted {
			granted = append(granted, d.ID)
		} else {
			rejected = append(rejected, d.ID)
		}
	}
	return granted, rejected
}

func TestScheduler(t *testing.T) {
	after := start.Add
	convey.Convey("Given a target that takes 10 requests a second", t, func() {
		s := New(start, 10)
		convey.Convey("the first permit falls due after the time for one request, and the next ones evenly", func() {
			for id := range uint64(3) {
				s.Add(Request{ID: id, Deadline: after(time.Second)})
			}
			convey.So(s.Decide(start), convey.ShouldBeEmpty)
			for id := range uint64(3) {
				at, ok := s.Next()
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(at, convey.ShouldEqual, after(time.Duration(id+1)*100*time.Millisecond))
				granted, _ := grants(s.Decide(at))
				convey.So(granted, convey.ShouldResemble, []uint64{id})
			}
			_, ok := s.Next()
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("a pause is made up for only in part", func() {
			for id := range uint64(10) {
				s.Add(Request{ID: id, Deadline: after(time.Minute)})
			}
			granted, _ := grants(s.Decide(after(20 * time.Second)))
			convey.So(len(granted), convey.ShouldEqual, 3) // one, and two within burstTime
		})
		convey.Convey("the more urgent requests go first, then those with the least time", func() {
			s.Add(Request{ID: 1, Urgency: 1, Deadline: after(time.Second)})
			s.Add(Request{ID: 2, Urgency: 0, Deadline: after(3 * time.Second)})
			s.Add(Request{ID: 3, Urgency: 0, Deadline: after(2 * time.Second)})
			s.Add(Request{ID: 4, Urgency: 0, Deadline: after(2 * time.Second)})
			var order []uint64
			for range 4 {
				at, _ := s.Next()
				granted, _ := grants(s.Decide(at))
				order = append(order, granted...)
			}
			convey.So(order, convey.ShouldResemble, []uint64{3, 4, 2, 1})
		})
		convey.Convey("a request that can't get a permit in time is rejected at once", func() {
			s.Add(Request{ID: 1, Deadline: after(150 * time.Millisecond)})
			s.Add(Request{ID: 2, Deadline: after(150 * time.Millisecond)})
			d := s.Decide(start)
			convey.So(d, convey.ShouldResemble, []Decision{{ID: 2, Wait: 200 * time.Millisecond}})
			convey.Convey("also because of a more urgent one that comes later", func() {
				s.Add(Request{ID: 3, Urgency: -1, Deadline: after(time.Second)})
				d := s.Decide(start)
				convey.So(d, convey.ShouldResemble, []Decision{{ID: 1, Wait: 200 * time.Millisecond}})
			})
			convey.Convey("unless another one is given up", func() {
				convey.So(s.Remove(1), convey.ShouldBeTrue)
				convey.So(s.Remove(1), convey.ShouldBeFalse)
				s.Add(Request{ID: 4, Deadline: after(150 * time.Millisecond)})
				convey.So(s.Decide(start), convey.ShouldBeEmpty)
			})
		})
		convey.Convey("a changed rate applies to the time since the last permit", func() {
			s.Add(Request{ID: 1, Deadline: after(time.Minute)})
			s.SetRate(1)
			at, _ := s.Next()
			convey.So(at, convey.ShouldEqual, after(time.Second))
			s.SetRate(20)
			at, _ = s.Next()
			convey.So(at, convey.ShouldEqual, after(50*time.Millisecond))
		})
		convey.Convey("all requests go at the end of the limit", func() {
			s.Add(Request{ID: 1, Deadline: after(time.Minute)})
			s.Add(Request{ID: 2, Deadline: after(time.Minute)})
			granted, _ := grants(s.DecideAll())
			convey.So(granted, convey.ShouldResemble, []uint64{1, 2})
		})
	})
	convey.Convey("A target with a limit of nothing, or next to it, gets a request now and then", t, func() {
		for _, rate := range []float64{0, 1e-300, 0.3} {
			s := New(start, rate)
			s.Add(Request{ID: 1, Deadline: after(time.Minute)})
			at, _ := s.Next()
			convey.So(at, convey.ShouldEqual, after(maxInterval))
		}
	})
	convey.Convey("A huge limit never delays a request", t, func() {
		for _, rate := range []float64{1e9, 1e300, math.MaxFloat64} {
			s := New(start, rate)
			for id := range uint64(1000) {
				s.Add(Request{ID: id, Deadline: after(time.Second)})
			}
			granted, _ := grants(s.Decide(after(time.Millisecond)))
			convey.So(len(granted), convey.ShouldEqual, 1000)
		}
	})
}

// TestSchedulerKeepsRate guards against permits that exceed the limit in any window, and
// against limits that are not used, for requests that arrive at random in bursts.
func TestSchedulerKeepsRate(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			rate := math.Exp(r.Float64()*6 - 1) // 0.37 to 148 a second
			s := New(start, rate)
			var issued []time.Time
			id, arrivals := uint64(0), rate*(2+2*r.Float64())
			now := start
			for now.Before(start.Add(30 * time.Second)) {
				now = now.Add(5 * time.Millisecond)
				for r.Float64() < arrivals*0.005/(1+arrivals*0.005) {
					id++
					s.Add(Request{ID: id, Urgency: r.IntN(3), Deadline: now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)})
				}
				for _, d := range s.Decide(now) {
					if d.Granted {
						issued = append(issued, now)
					} else if d.Wait <= 0 {
						t.Fatalf("rejected with a wait of %s", d.Wait)
					}
				}
			}
			const window = 4 * time.Second
			allowed := 1.5*rate*window.Seconds() + 5
			for i, at := range issued {
				n := 0
				for _, other := range issued[i:] {
					if other.Sub(at) <= window {
						n++
					}
				}
				if float64(n) > allowed {
					t.Fatalf("%d permits in %s at a rate of %.2f", n, window, rate)
				}
			}
			if rate > 1 && float64(len(issued)) < 0.7*rate*30 {
				t.Errorf("%d permits in 30 s at a rate of %.2f and %.2f requests a second", len(issued), rate, arrivals)
			}
		})
	}
}

func ExampleScheduler() {
	now := time.Unix(0, 0)
	s := New(now, 4)
	s.Add(Request{ID: 7, Deadline: now.Add(time.Second)})
	at, _ := s.Next()
	fmt.Println(at.Sub(now), s.Decide(at))
	// Output: 250ms [{7 true 250ms}]
}
