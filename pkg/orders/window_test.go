package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// sharedStore is a weight store that serves some loads at full speed and slows
// all of them down beyond that, with the engines before it.
type sharedStore struct {
	atOnce  int
	engines []*fetching
	flight  int
	peak    int
}

type fetching struct {
	planner *Planner
	report  Report
	left    map[string]time.Duration // of each load, at full speed
	next    int
	loaded  int
}

func newSharedStore(engines, atOnce int) *sharedStore {
	s := &sharedStore{atOnce: atOnce}
	for range engines {
		s.engines = append(s.engines, &fetching{
			planner: NewPlanner(),
			report:  Report{Started: 1, Models: []Model{{Name: "m"}}},
			left:    map[string]time.Duration{},
		})
	}
	return s
}

// step lets loads go on for a while, and each engine order what it may. Requests
// for so many adapters wait at each engine.
func (s *sharedStore) step(now time.Time, d time.Duration, c Capacity, wanted int) {
	speed := min(1, float64(s.atOnce)/float64(max(1, s.flight)))
	s.flight = 0
	for i, e := range s.engines {
		e.advance(time.Duration(speed * float64(d)))
		for k := range wanted {
			e.planner.Want(now, Want{Adapter: named(fmt.Sprintf("e%d-%d", i, e.next+k)), Waiting: 1})
		}
		for {
			o, ok := e.planner.Next(now, &e.report, c)
			if !ok {
				break
			}
			e.left[o.Adapter.Name] = 250 * time.Millisecond
			e.report.Coming = append(e.report.Coming, Resident{Adapter: o.Adapter, Version: 1})
			e.report.Sequence++
		}
		s.flight += len(e.left)
	}
	s.peak = max(s.peak, s.flight)
}

// advance ends the loads that are done, and forgets what was loaded before.
func (e *fetching) advance(d time.Duration) {
	coming := e.report.Coming
	e.report.Coming, e.report.Adapters = nil, nil
	for _, c := range coming {
		e.left[c.Adapter.Name] -= d
		if e.left[c.Adapter.Name] > 0 {
			e.report.Coming = append(e.report.Coming, c)
			continue
		}
		delete(e.left, c.Adapter.Name)
		e.report.Adapters = append(e.report.Adapters, c)
		e.next++
		e.loaded++
	}
}

func TestWindow(t *testing.T) {
	convey.Convey("Given engines that share a weight store, more adapters are wanted than it can deliver", t, func() {
		for _, test := range []struct{ engines, atOnce int }{{9, 8}, {18, 24}, {4, 100}} {
			c := Capacity{Places: 40, WeightsMB: 200, ModelMB: 100, AdapterMB: 1, InFlight: 4}
			s := newSharedStore(test.engines, test.atOnce)
			now, sum, n := start, 0, 0
			for range 4000 {
				now = now.Add(10 * time.Millisecond)
				wanted := 6
				if now.Sub(start) < time.Second {
					wanted = 1 // at first, so that the store's full speed is seen
				}
				s.step(now, 10*time.Millisecond, c, wanted)
				if now.Sub(start) > 10*time.Second {
					sum += s.flight
					n++
				}
			}
			most := test.engines * c.InFlight
			mean := float64(sum) / float64(n)
			convey.So(mean, convey.ShouldBeLessThanOrEqualTo, min(2*float64(test.atOnce), float64(most)))
			convey.So(mean, convey.ShouldBeGreaterThan, 0.7*float64(min(test.atOnce, most)))
			for _, e := range s.engines {
				convey.So(e.loaded, convey.ShouldBeGreaterThan, 40*4*test.atOnce/(2*max(test.atOnce, most)))
			}
		}
	})
	convey.Convey("An adapter that the engine has had does not count: it comes from its VM's memory", t, func() {
		var w window
		r := holding("a")
		w.watch(start, r)
		w.size = 1
		r = holding()
		r.Coming = []Resident{{Adapter: named("b")}}
		w.watch(start, r)
		convey.So(w.has(r, named("c"), 4), convey.ShouldBeFalse)
		convey.So(w.has(r, named("a"), 4), convey.ShouldBeTrue)
		convey.Convey("until it starts anew", func() {
			r.Started++
			w.watch(start, r)
			convey.So(w.has(r, named("a"), 4), convey.ShouldBeFalse)
		})
	})
	convey.Convey("An adapter that more requests wait for comes first", t, func() {
		p := NewPlanner()
		p.Want(start, Want{Adapter: named("old"), Waiting: 1})
		later := start.Add(200 * time.Millisecond)
		p.Want(later, Want{Adapter: named("many"), Waiting: 3})
		o, _ := p.Next(later, holding(), capacity)
		convey.So(o.Adapter, convey.ShouldResemble, named("many"))
	})
}
