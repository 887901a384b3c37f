package assignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var request = Request{Key: 42, Objective: time.Second}

// idleCandidates returns n usable candidates that have no requests and can load
// adapters.
func idleCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{
			Hash: uint64(1000 + i), Slots: 10, TimeToFirstEvent: 100 * time.Millisecond, SojournTime: time.Second,
			LoadDelay: 250 * time.Millisecond, CanLoad: true, Usable: true,
		}
	}
	return out
}

func TestChoose(t *testing.T) {
	convey.Convey("Given targets without requests", t, func() {
		c := idleCandidates(6)
		home, ok := Choose(request, c)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(home.Resident, convey.ShouldBeFalse)
		convey.So(home.Wait, convey.ShouldEqual, 250*time.Millisecond)
		convey.Convey("the home depends only on the targets' identities", func() {
			reversed := idleCandidates(6)
			for i := range reversed {
				reversed[i] = c[len(c)-1-i]
			}
			again, _ := Choose(request, reversed)
			convey.So(reversed[again.Index].Hash, convey.ShouldEqual, c[home.Index].Hash)
		})
		convey.Convey("a holder is preferred to the home", func() {
			other := (home.Index + 1) % len(c)
			c[other].Resident = true
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, other)
			convey.So(got.Resident, convey.ShouldBeTrue)
			convey.So(got.CopyTarget, convey.ShouldEqual, -1)
			convey.Convey("even if it is in another region", func() {
				c[other].Distance = OtherRegion
				got, _ := Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, other)
			})
			convey.Convey("and a further copy is loaded only if the wait there is long", func() {
				c[other].Requests = 9
				got, _ = Choose(request, c)
				convey.So(got.CopyTarget, convey.ShouldEqual, -1)
				c[other].Requests = 13
				got, _ = Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, other)
				convey.So(got.CopyTarget, convey.ShouldBeGreaterThanOrEqualTo, 0)
				convey.So(got.CopyTarget, convey.ShouldNotEqual, other)
				convey.Convey("and if the wait exceeds the time of a load, requests wait for the copy", func() {
					c[other].Requests = 16
					got, _ = Choose(request, c)
					convey.So(got.Resident, convey.ShouldBeFalse)
					convey.So(got.Index, convey.ShouldNotEqual, other)
					convey.So(got.Wait, convey.ShouldEqual, 250*time.Millisecond)
				})
			})
		})
		convey.Convey("a nearer holder is preferred to a farther one", func() {
			c[0].Resident, c[0].Distance = true, OtherRegion
			c[1].Resident, c[1].Distance = true, SameRegion
			c[2].Resident, c[2].Distance = true, SameZone
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, 2)
			convey.Convey("unless it is overloaded", func() {
				c[2].Requests = 30
				got, _ := Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, 1)
			})
		})
		convey.Convey("an overloaded home is not chosen", func() {
			c[home.Index].Requests = 40
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
		})
		convey.Convey("an overloaded home is chosen if no other target can load the adapter", func() {
			for i := range c {
				c[i].CanLoad = i == home.Index
			}
			c[home.Index].Requests = 40
			got, ok := Choose(request, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.Index, convey.ShouldEqual, home.Index)
		})
		convey.Convey("requests without an event yet count with the time that each adds", func() {
			c[home.Index].Backlog = 600 * time.Millisecond
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
			for i := range c {
				c[i].Backlog = 600 * time.Millisecond
			}
			got, _ = Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, home.Index)
			convey.So(got.Wait, convey.ShouldEqual, 600*time.Millisecond)
		})
		convey.Convey("a home where the load of the adapter takes long is not chosen", func() {
			c[home.Index].LoadDelay = time.Second
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
		})
		convey.Convey("a target with the adapter in its VM's memory is preferred to the home, unless it is much slower", func() {
			other := (home.Index + 1) % len(c)
			c[other].InHostMemory, c[other].LoadDelay = true, 50*time.Millisecond
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, other)
			c[other].Backlog = 600 * time.Millisecond
			got, _ = Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, home.Index)
		})
		convey.Convey("a home that cannot load adapters is not chosen", func() {
			c[home.Index].CanLoad = false
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
		})
		convey.Convey("a target that failed recently is not chosen while others hold the adapter", func() {
			c[0].Resident, c[0].Penalty = true, time.Second
			c[1].Resident = true
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, 1)
		})
		convey.Convey("a holder at which the request itself takes longer is used only while the others are busier", func() {
			c[0].Resident, c[1].Resident = true, true
			c[0].ExtraTime = 400 * time.Millisecond
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, 1)
			c[1].Backlog = 250 * time.Millisecond
			got, _ = Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, 0)
			convey.So(got.Wait, convey.ShouldEqual, 0) // the extra time is no wait
			convey.Convey("and a small difference does not count, so that idle targets share the requests", func() {
				c[0].ExtraTime, c[1].ExtraTime, c[1].Backlog = 30*time.Millisecond, -30*time.Millisecond, 0
				got, _ := Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, 0) // the first of equal ones
			})
		})
		convey.Convey("a home that is slow for all requests is not chosen", func() {
			c[home.Index].ExtraTime = time.Second
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
		})
		convey.Convey("a holder that limits its rate is left to rare adapters", func() {
			c[0].Resident, c[0].RateLimited = true, true
			c[1].Resident = true
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, 1)
			convey.Convey("unless the others are much slower", func() {
				c[1].Requests = 13
				got, _ := Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, 0)
				convey.Convey("and the wait for its permits is shorter", func() {
					c[0].PermitDelay = time.Second
					got, _ := Choose(request, c)
					convey.So(got.Index, convey.ShouldEqual, 1)
				})
			})
		})
		convey.Convey("a missing adapter is not loaded where no permit is due", func() {
			c[home.Index].RateLimited, c[home.Index].PermitDelay = true, time.Second
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
			for i := range c {
				c[i].PermitDelay = time.Second
			}
			got, _ = Choose(request, c)
			convey.So(got.Wait, convey.ShouldEqual, 1250*time.Millisecond)
		})
		convey.Convey("the loss of a target moves only the adapters that it was the home of", func() {
			moved, kept := 0, 0
			for key := range uint64(500) {
				r := Request{Key: key * 7919, Objective: time.Second}
				before, _ := Choose(r, idleCandidates(6))
				fewer := idleCandidates(6)
				fewer[3].Usable = false
				after, _ := Choose(r, fewer)
				if before.Index == 3 {
					moved++
					continue
				}
				convey.So(after.Index, convey.ShouldEqual, before.Index)
				kept++
			}
			convey.So(moved, convey.ShouldBeBetween, 50, 120)
			convey.So(kept, convey.ShouldEqual, 500-moved)
		})
	})
	convey.Convey("Without a usable target there is no choice", t, func() {
		c := idleCandidates(2)
		c[0].Usable, c[1].Usable = false, false
		_, ok := Choose(request, c)
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = Choose(request, nil)
		convey.So(ok, convey.ShouldBeFalse)
	})
}

func ExampleChoose() {
	targets := []Candidate{
		{Hash: 1, Slots: 8, Resident: true, Distance: OtherRegion, Usable: true},
		{Hash: 2, Slots: 8, Resident: true, Distance: SameZone, Usable: true},
	}
	c, ok := Choose(Request{Key: 7, Objective: time.Second}, targets)
	fmt.Println(c.Index, c.Resident, ok)
	// Output: 1 true true
}

func BenchmarkChoose(b *testing.B) {
	c := idleCandidates(600)
	b.ReportAllocs()
	for b.Loop() {
		Choose(request, c)
	}
}
