package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// sharedStore simulates a weight store and the engines that load from it. It
// serves fullSpeedLoads concurrent loads at full speed and slows all of them
// down beyond that.
type sharedStore struct {
	fullSpeedLoads int
	engines        []*simulatedEngine
	inProgress     int // loads in progress at all engines
	peak           int // maximum of inProgress so far
}

// simulatedEngine is an engine that loads adapters from a sharedStore.
type simulatedEngine struct {
	planner        *Planner
	report         Report
	remaining      map[string]time.Duration // time left for each load at full speed
	nextAdapter    int
	completedLoads int
}

func newSharedStore(engines, fullSpeedLoads int) *sharedStore {
	s := &sharedStore{fullSpeedLoads: fullSpeedLoads}
	for range engines {
		s.engines = append(s.engines, &simulatedEngine{
			planner:   NewPlanner(NewOutstanding()),
			report:    Report{Started: 1, Models: []Model{{Name: "m"}}},
			remaining: map[string]time.Duration{},
		})
	}
	return s
}

// step advances the loads by d and then executes the orders of each engine's
// planner, while requests for wanted adapters wait at each engine.
func (s *sharedStore) step(now time.Time, d time.Duration, c Capacity, wanted int) {
	speedFactor := min(1, float64(s.fullSpeedLoads)/float64(max(1, s.inProgress)))
	s.inProgress = 0
	for i, e := range s.engines {
		e.advance(time.Duration(speedFactor * float64(d)))
		for k := range wanted {
			e.planner.RecordDemand(now, Demand{Adapter: adapterNamed(fmt.Sprintf("e%d-%d", i, e.nextAdapter+k)), Waiting: 1})
		}
		for {
			o, ok := e.planner.Next(now, &e.report, c)
			if !ok {
				break
			}
			e.remaining[o.Adapter.Name] = 250 * time.Millisecond
			e.report.Loading = append(e.report.Loading, Resident{Adapter: o.Adapter, Version: 1})
			e.report.Sequence++
		}
		s.inProgress += len(e.remaining)
	}
	s.peak = max(s.peak, s.inProgress)
}

// advance progresses the loads by d at full speed. Only the loads that complete
// in this step are reported as resident adapters.
func (e *simulatedEngine) advance(d time.Duration) {
	loading := e.report.Loading
	e.report.Loading, e.report.Adapters = nil, nil
	for _, c := range loading {
		e.remaining[c.Adapter.Name] -= d
		if e.remaining[c.Adapter.Name] > 0 {
			e.report.Loading = append(e.report.Loading, c)
			continue
		}
		delete(e.remaining, c.Adapter.Name)
		e.report.Adapters = append(e.report.Adapters, c)
		e.nextAdapter++
		e.completedLoads++
	}
}

func TestWindow(t *testing.T) {
	convey.Convey("Engines that share an overloaded weight store keep 0.7 to 2 times its full-speed loads in progress", t, func() {
		for _, test := range []struct{ engines, fullSpeedLoads int }{{9, 8}, {18, 24}, {4, 100}} {
			c := Capacity{AdapterSlots: 40, WeightsMB: 200, Models: []ModelSize{{Name: "m", WeightsMB: 100, AdapterMB: 1}}, MaxLoads: 4}
			s := newSharedStore(test.engines, test.fullSpeedLoads)
			now, sum, n := start, 0, 0
			for range 4000 {
				now = now.Add(10 * time.Millisecond)
				wanted := 6
				if now.Sub(start) < time.Second {
					wanted = 1 // few loads at first, so that the engines observe the store's full speed
				}
				s.step(now, 10*time.Millisecond, c, wanted)
				if now.Sub(start) > 10*time.Second {
					sum += s.inProgress
					n++
				}
			}
			maxInProgress := test.engines * c.MaxLoads
			mean := float64(sum) / float64(n)
			convey.So(mean, convey.ShouldBeLessThanOrEqualTo, min(2*float64(test.fullSpeedLoads), float64(maxInProgress)))
			convey.So(mean, convey.ShouldBeGreaterThan, 0.7*float64(min(test.fullSpeedLoads, maxInProgress)))
			// No engine is starved: each completes at least an eighth of its equal share
			// of the loads that the store serves in 40 s, at 4 loads per second each.
			for _, e := range s.engines {
				convey.So(e.completedLoads, convey.ShouldBeGreaterThan, 40*4*test.fullSpeedLoads/(2*max(test.fullSpeedLoads, maxInProgress)))
			}
		}
	})
	convey.Convey("An adapter that the engine has held before is not limited by the window: it is loaded from its VM's memory", t, func() {
		var w loadWindow
		r := reportHolding("a")
		w.observe(start, r)
		w.size = 1
		r = reportHolding()
		r.Loading = []Resident{{Adapter: adapterNamed("b")}}
		w.observe(start, r)
		convey.So(w.allows(r, adapterNamed("c"), 4), convey.ShouldBeFalse)
		convey.So(w.allows(r, adapterNamed("a"), 4), convey.ShouldBeTrue)
		convey.Convey("until the engine restarts", func() {
			r.Started++
			w.observe(start, r)
			convey.So(w.allows(r, adapterNamed("a"), 4), convey.ShouldBeFalse)
		})
	})
	convey.Convey("The adapter with more waiting requests is loaded first", t, func() {
		p := NewPlanner(NewOutstanding())
		p.RecordDemand(start, Demand{Adapter: adapterNamed("old"), Waiting: 1})
		later := start.Add(200 * time.Millisecond)
		p.RecordDemand(later, Demand{Adapter: adapterNamed("many"), Waiting: 3})
		o, _ := p.Next(later, reportHolding(), capacity)
		convey.So(o.Adapter, convey.ShouldResemble, adapterNamed("many"))
	})
}
