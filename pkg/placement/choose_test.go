package placement

import (
	"strconv"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Hash: Hash("t" + strconv.Itoa(i)), Region: "lombardy", Slots: 8}
	}
	return out
}

func TestChoose(t *testing.T) {
	convey.Convey("An adapter always has the same target, and adapters are distributed evenly", t, func() {
		cs := candidates(10)
		counts := make([]int, len(cs))
		for k := 0; k < 10000; k++ {
			key := Hash("t/adapter-" + strconv.Itoa(k) + "@1")
			i, ok := Choose(key, cs, "lombardy")
			j, _ := Choose(key, cs, "lombardy")
			convey.So(ok && i == j, convey.ShouldBeTrue)
			counts[i]++
		}
		for _, n := range counts {
			convey.So(n, convey.ShouldBeBetween, 800, 1200)
		}
	})
	convey.Convey("The loss of a target moves only the adapters that it was chosen for", t, func() {
		cs := candidates(10)
		moved, chosen := 0, 0
		for k := 0; k < 1000; k++ {
			key := Hash("t/adapter-" + strconv.Itoa(k) + "@1")
			cs[3].Tried = false
			before, _ := Choose(key, cs, "lombardy")
			cs[3].Tried = true
			after, _ := Choose(key, cs, "lombardy")
			if before == 3 {
				chosen++
			}
			if before != after {
				moved++
			}
		}
		convey.So(moved, convey.ShouldEqual, chosen)
	})
	convey.Convey("A request spills from an overloaded target, and the caller's region is preferred", t, func() {
		cs := candidates(4)
		key := Hash("x")
		home, _ := Choose(key, cs, "lombardy")
		cs[home].InFlight = 10
		next, _ := Choose(key, cs, "lombardy")
		convey.So(next, convey.ShouldNotEqual, home)
		for i := range cs {
			cs[i].Region = "piedmont"
		}
		cs[home].Region = "lombardy"
		again, _ := Choose(key, cs, "lombardy")
		convey.So(again, convey.ShouldEqual, home)
	})
	convey.Convey("No candidate is chosen if all were tried", t, func() {
		cs := candidates(1)
		cs[0].Tried = true
		_, ok := Choose(1, cs, "")
		convey.So(ok, convey.ShouldBeFalse)
	})
}

func BenchmarkChoose300(b *testing.B) {
	cs := candidates(300)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		Choose(uint64(i), cs, "lombardy")
	}
}
