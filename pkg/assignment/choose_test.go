package assignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var request = Request{Key: 42, Objective: time.Second}

// idle returns n usable candidates without load that can load adapters.
func idle(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{
			Hash: uint64(1000 + i), Slots: 10, First: 100 * time.Millisecond, Stay: time.Second,
			Loading: 250 * time.Millisecond, CanLoad: true, Usable: true,
		}
	}
	return out
}

func TestChoose(t *testing.T) {
	convey.Convey("Given targets without load", t, func() {
		c := idle(6)
		home, ok := Choose(request, c)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(home.Holds, convey.ShouldBeFalse)
		convey.So(home.Wait, convey.ShouldEqual, 250*time.Millisecond)
		convey.Convey("the home depends on nothing but the targets' identities", func() {
			reversed := idle(6)
			for i := range reversed {
				reversed[i] = c[len(c)-1-i]
			}
			again, _ := Choose(request, reversed)
			convey.So(reversed[again.Index].Hash, convey.ShouldEqual, c[home.Index].Hash)
		})
		convey.Convey("a holder goes before the home", func() {
			other := (home.Index + 1) % len(c)
			c[other].Holds = true
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, other)
			convey.So(got.Holds, convey.ShouldBeTrue)
			convey.So(got.Copy, convey.ShouldEqual, -1)
			convey.Convey("also when it is in another region", func() {
				c[other].Distance = OtherRegion
				got, _ := Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, other)
			})
			convey.Convey("and a further copy is made only when requests wait there for long", func() {
				c[other].Load = 9
				got, _ = Choose(request, c)
				convey.So(got.Copy, convey.ShouldEqual, -1)
				c[other].Load = 13
				got, _ = Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, other)
				convey.So(got.Copy, convey.ShouldBeGreaterThanOrEqualTo, 0)
				convey.So(got.Copy, convey.ShouldNotEqual, other)
				convey.Convey("and beyond the time of a load, they wait for the copy", func() {
					c[other].Load = 16
					got, _ = Choose(request, c)
					convey.So(got.Holds, convey.ShouldBeFalse)
					convey.So(got.Index, convey.ShouldNotEqual, other)
					convey.So(got.Wait, convey.ShouldEqual, 250*time.Millisecond)
				})
			})
		})
		convey.Convey("a nearer holder goes before a farther one", func() {
			c[0].Holds, c[0].Distance = true, OtherRegion
			c[1].Holds, c[1].Distance = true, SameRegion
			c[2].Holds, c[2].Distance = true, SameZone
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, 2)
			convey.Convey("unless it is overloaded", func() {
				c[2].Load = 30
				got, _ := Choose(request, c)
				convey.So(got.Index, convey.ShouldEqual, 1)
			})
		})
		convey.Convey("an overloaded home is passed over", func() {
			c[home.Index].Load = 40
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
		})
		convey.Convey("unless no other can load the adapter", func() {
			for i := range c {
				c[i].CanLoad = i == home.Index
			}
			c[home.Index].Load = 40
			got, ok := Choose(request, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.Index, convey.ShouldEqual, home.Index)
		})
		convey.Convey("requests that had no event yet count by the time that each adds", func() {
			c[home.Index].Ahead, c[home.Index].Each = 20, 30*time.Millisecond
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
			for i := range c {
				c[i].Ahead, c[i].Each = 20, 30*time.Millisecond
			}
			got, _ = Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, home.Index)
			convey.So(got.Wait, convey.ShouldEqual, 600*time.Millisecond)
		})
		convey.Convey("a home where the adapter would come late is passed over", func() {
			c[home.Index].Loading = time.Second
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
		})
		convey.Convey("a target that has the adapter in its VM's memory goes before the home, unless it is much slower", func() {
			other := (home.Index + 1) % len(c)
			c[other].Warm, c[other].Loading = true, 50*time.Millisecond
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, other)
			c[other].Ahead, c[other].Each = 20, 30*time.Millisecond
			got, _ = Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, home.Index)
		})
		convey.Convey("a home that can't load is passed over", func() {
			c[home.Index].CanLoad = false
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldNotEqual, home.Index)
		})
		convey.Convey("a target that failed lately is passed over while others hold the adapter", func() {
			c[0].Holds, c[0].Extra = true, time.Second
			c[1].Holds = true
			got, _ := Choose(request, c)
			convey.So(got.Index, convey.ShouldEqual, 1)
		})
		convey.Convey("the loss of a target moves only the adapters that it was the home of", func() {
			moved, kept := 0, 0
			for key := range uint64(500) {
				r := Request{Key: key * 7919, Objective: time.Second}
				before, _ := Choose(r, idle(6))
				fewer := idle(6)
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
		c := idle(2)
		c[0].Usable, c[1].Usable = false, false
		_, ok := Choose(request, c)
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = Choose(request, nil)
		convey.So(ok, convey.ShouldBeFalse)
	})
}

func ExampleChoose() {
	targets := []Candidate{
		{Hash: 1, Slots: 8, Holds: true, Distance: OtherRegion, Usable: true},
		{Hash: 2, Slots: 8, Holds: true, Distance: SameZone, Usable: true},
	}
	c, ok := Choose(Request{Key: 7, Objective: time.Second}, targets)
	fmt.Println(c.Index, c.Holds, ok)
	// Output: 1 true true
}

func BenchmarkChoose(b *testing.B) {
	c := idle(600)
	b.ReportAllocs()
	for b.Loop() {
		Choose(request, c)
	}
}
