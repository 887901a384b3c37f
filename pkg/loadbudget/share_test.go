package loadbudget

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/borageusher/borageusher/pkg/dispatch"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limits = Limits{Rate: 7, Burst: 3, InFlight: 24}
	need   = dispatch.LoadNeed{Waiting: 1, StartBy: start.Add(30 * time.Second)}
)

func TestShare(t *testing.T) {
	convey.Convey("A share accrues permits at its part of the rate and stores one", t, func() {
		s := NewShare(limits, 14, -1, start)
		convey.So(s.TakePermit(start, need), convey.ShouldBeFalse)
		next := s.NextPermit(start)
		convey.So(next.Sub(start), convey.ShouldAlmostEqual, 2*time.Second, 2*time.Millisecond)
		convey.So(s.TakePermit(next, need), convey.ShouldBeTrue)
		s.Done(next)
		later := start.Add(time.Hour)
		convey.So(s.TakePermit(later, need), convey.ShouldBeTrue)
		s.Done(later)
		convey.So(s.TakePermit(later, need), convey.ShouldBeFalse)
	})
	convey.Convey("A share has no more loads in flight than its part", t, func() {
		s := NewShare(Limits{Rate: 100, InFlight: 4}, 2, -1, start)
		for range 2 {
			s.AddPermit(start, need.Team)
			convey.So(s.TakePermit(start, need), convey.ShouldBeTrue)
		}
		s.AddPermit(start, need.Team)
		convey.So(s.TakePermit(start, need), convey.ShouldBeFalse)
		s.Done(start)
		convey.So(s.TakePermit(start, need), convey.ShouldBeTrue)
	})
	convey.Convey("With less than one load in flight for each target, starts are spaced by the load's duration", t, func() {
		s := NewShare(Limits{Rate: 100, InFlight: 1}, 4, -1, start)
		s.AddPermit(start, need.Team)
		s.AddPermit(start, need.Team)
		convey.So(s.TakePermit(start, need), convey.ShouldBeTrue)
		s.Done(start.Add(time.Second))
		convey.So(s.TakePermit(start.Add(3*time.Second), need), convey.ShouldBeFalse)
		convey.So(s.TakePermit(start.Add(4*time.Second), need), convey.ShouldBeTrue)
	})
	convey.Convey("A need stays recorded until a permit is received", t, func() {
		s := NewShare(limits, 14, -1, start)
		s.TakePermit(start, need)
		convey.So(s.UnmetNeeds(), convey.ShouldResemble, []dispatch.LoadNeed{need})
		s.AddPermit(start, need.Team)
		convey.So(s.UnmetNeeds(), convey.ShouldBeEmpty)
	})
}

// TestSharesKeepRate transfers permits through two allocators with lost
// messages, and checks that the number of started loads never exceeds the rate
// times the time since the beginning.
func TestSharesKeepRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		now := start
		shares := make([]*Share, n)
		for i := range shares {
			shares[i] = NewShare(limits, n, -1, start)
		}
		allocators := []*Allocator{NewAllocator(limits), NewAllocator(limits)}
		taken := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "target")
			al := allocators[rapid.IntRange(0, 1).Draw(t, "allocator")]
			lost := rapid.Bool().Draw(t, "lost")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				if shares[i].TakePermit(now, need) {
					taken++
					shares[i].Done(now)
				}
			case 1:
				if permits := shares[i].ReleasePermits(now); !lost {
					al.AddPermits(permits)
				}
			case 2:
				al.SetNeeds("any", []dispatch.LoadNeed{need})
				for range al.Grants(start) {
					if !lost {
						shares[i].AddPermit(now, need.Team)
					}
				}
			}
			if most := limits.Rate*now.Sub(start).Seconds() + 1e-6; float64(taken) > most {
				t.Fatalf("%d loads started, at most %.2f are allowed", taken, most)
			}
		}
	})
}

func targets(grants []Grant) []string {
	var out []string
	for _, g := range grants {
		out = append(out, g.Target)
	}
	return out
}

func TestAllocator(t *testing.T) {
	convey.Convey("Needs with waiting requests come before prefetching, then those with the earlier due time", t, func() {
		al := NewAllocator(Limits{Rate: 7, Burst: 6})
		al.SetNeeds("prefetch", []dispatch.LoadNeed{{}})
		al.SetNeeds("late", []dispatch.LoadNeed{{Waiting: 1, StartBy: start.Add(9 * time.Second)}})
		al.SetNeeds("many", []dispatch.LoadNeed{{Waiting: 8, StartBy: start.Add(9 * time.Second)}})
		al.SetNeeds("early", []dispatch.LoadNeed{{Waiting: 1, StartBy: start.Add(time.Second)}})
		al.SetNeeds("withdrawn", []dispatch.LoadNeed{need})
		al.SetNeeds("withdrawn", nil)
		convey.So(al.Grants(start), convey.ShouldBeEmpty)
		al.AddPermits(3.5)
		convey.So(targets(al.Grants(start)), convey.ShouldResemble, []string{"early", "many", "late"})
		al.AddPermits(2 * 6)
		convey.So(al.Grants(start), convey.ShouldBeEmpty)
		convey.So(targets(al.Grants(start.Add(time.Second))), convey.ShouldResemble, []string{"prefetch"})
	})
	convey.Convey("Grants at one time do not exceed the burst", t, func() {
		al := NewAllocator(limits)
		al.AddPermits(100)
		for _, name := range []string{"a", "b", "c", "d"} {
			al.SetNeeds(name, []dispatch.LoadNeed{need})
		}
		convey.So(al.Grants(start), convey.ShouldHaveLength, limits.Burst)
		convey.So(al.Grants(start.Add(time.Second/7+time.Millisecond)), convey.ShouldHaveLength, 1)
	})
}

func TestQuota(t *testing.T) {
	convey.Convey("A borrowing team beyond its quota leaves permits for others", t, func() {
		al := NewAllocator(limits)
		borrowerNeed := dispatch.LoadNeed{Waiting: 9, StartBy: start, Team: "borrower", LentShare: 0.5}
		for range int(quotaBurst) {
			al.AddPermits(2)
			al.SetNeeds("t1", []dispatch.LoadNeed{borrowerNeed})
			convey.So(targets(al.Grants(start)), convey.ShouldResemble, []string{"t1"})
		}
		al.SetNeeds("t1", []dispatch.LoadNeed{borrowerNeed})
		convey.So(al.Grants(start), convey.ShouldBeEmpty)
		al.SetNeeds("t2", []dispatch.LoadNeed{need})
		convey.So(targets(al.Grants(start)), convey.ShouldResemble, []string{"t2"})
		al.AddPermits(2)
		convey.So(targets(al.Grants(start.Add(time.Second))), convey.ShouldResemble, []string{"t1"})
	})
	convey.Convey("A share slows down with the weight store and recovers", t, func() {
		s := NewShare(limits, 1, -1, start)
		now := start
		load := func(took time.Duration) {
			s.AddPermit(now, need.Team)
			s.TakePermit(now, need)
			now = now.Add(took)
			s.Done(now)
		}
		load(time.Second)
		load(time.Second)
		convey.So(s.rateFactor, convey.ShouldEqual, 1)
		load(4 * time.Second)
		convey.So(s.rateFactor, convey.ShouldEqual, rateDecrease)
		for range 20 {
			load(time.Second)
		}
		convey.So(s.rateFactor, convey.ShouldEqual, 1)
	})
}
