package loadbudget

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestTurnsLimitLoads checks that the loads in flight never exceed the limit if each
// starts when its target's turns allow it and takes the expected time.
func TestTurnsLimitLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(2, 40).Draw(t, "targets")
		concurrent := rapid.IntRange(1, targets-1).Draw(t, "at once")
		duration := time.Duration(rapid.IntRange(1, int(turnLength/2/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		from := start.Add(time.Duration(rapid.IntRange(0, 1e6).Draw(t, "from")) * time.Millisecond)
		until := make([]time.Time, targets)
		loads := make([]int, targets)
		for now := from; now.Before(from.Add(3 * time.Duration(targets) * turnLength)); now = now.Add(20 * time.Millisecond) {
			inFlight := 0
			for i := range targets {
				turns := TurnSchedule{Position: i, Targets: targets, Concurrent: concurrent}
				if !now.Before(until[i]) && turns.Allows(now, duration) {
					until[i] = now.Add(duration)
					loads[i]++
				}
				if now.Before(until[i]) {
					inFlight++
				}
				if next := turns.Next(now); !next.After(now) || !turns.Allows(next, 0) {
					t.Fatalf("target %d: next turn %v after %v is not one of its own", i, next, now)
				}
			}
			if inFlight > concurrent {
				t.Fatalf("%d loads in flight, the limit is %d", inFlight, concurrent)
			}
		}
		for i, n := range loads {
			if n == 0 {
				t.Fatalf("target %d never started a load", i)
			}
		}
	})
}

func TestTurnScheduleOfShares(t *testing.T) {
	convey.Convey("Given two targets that share one load in flight", t, func() {
		one := Limits{Rate: 100, InFlight: 1}
		s := NewShare(one, 2, 1, start)
		otherTurn := turnStart(TurnSchedule{Position: 1, Targets: 2, Concurrent: 1}.turnAt(start))
		for (TurnSchedule{Position: 1, Targets: 2, Concurrent: 1}).Allows(otherTurn, 0) {
			otherTurn = otherTurn.Add(turnLength) // the other target's turn
		}
		otherTurn = otherTurn.Add(time.Minute)
		convey.Convey("a target without an allocator waits for its turn", func() {
			convey.So(s.TakePermit(otherTurn, need), convey.ShouldBeFalse)
			convey.So(s.UnmetNeeds(), convey.ShouldNotBeEmpty)
			next := s.NextPermit(otherTurn)
			convey.So(next, convey.ShouldHappenOnOrBetween, otherTurn, otherTurn.Add(turnLength))
			convey.So(s.TakePermit(next, need), convey.ShouldBeTrue)
		})
		convey.Convey("a target whose loads an allocator limits does not wait", func() {
			s.ReleasePermits(otherTurn)
			convey.So(s.TakePermit(otherTurn.Add(time.Second), need), convey.ShouldBeTrue)
		})
		convey.Convey("a target whose position is unknown does not wait", func() {
			convey.So(NewShare(one, 2, -1, start).TakePermit(otherTurn, need), convey.ShouldBeTrue)
		})
	})
	convey.Convey("A load that takes longer than a turn can start, too", t, func() {
		turns := TurnSchedule{Position: 1, Targets: 4, Concurrent: 2}
		starts := 0
		for ms := range int64(16000) {
			if turns.Allows(start.Add(time.Duration(ms)*time.Millisecond), 3*turnLength) {
				starts++
			}
		}
		convey.So(starts, convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("A position beyond the targets panics", t, func() {
		convey.So(func() { NewShare(limits, 2, 2, start) }, convey.ShouldPanic)
	})
}

func ExampleTurnSchedule_Allows() {
	for second := range 4 {
		now := time.Unix(int64(second), 0)
		first := TurnSchedule{Position: 0, Targets: 2, Concurrent: 1}.Allows(now, time.Second/2)
		other := TurnSchedule{Position: 1, Targets: 2, Concurrent: 1}.Allows(now, time.Second/2)
		fmt.Println(first, other)
	}
	// Output:
	// true false
	// false true
	// true false
	// false true
}
