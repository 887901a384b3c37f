package placement

import (
	"strconv"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// fakeOccupancy implements Occupancy with fixed values by member index.
type fakeOccupancy struct {
	inFlight []int
	down     []bool
}

func (o fakeOccupancy) InFlight(i int) int { return o.inFlight[i] }
func (o fakeOccupancy) Usable(i int) bool  { return !o.down[i] }

func newFakeOccupancy(n int) fakeOccupancy { return fakeOccupancy{make([]int, n), make([]bool, n)} }

func newMembers(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Hash: Hash("t" + strconv.Itoa(i)), Slots: 8}
	}
	return members
}

var costs = Costs{Stall: 4, Batch: 1, LoadSeconds: 0.5}

func TestView(t *testing.T) {
	convey.Convey("An adapter that no target holds is placed at its home, and the next request goes there too", t, func() {
		members := newMembers(10)
		v, hints, occupancy := NewView(members, costs), NewHints(), newFakeOccupancy(10)
		i, reason, ok := v.Choose(Key{Adapter: 7}, hints, occupancy)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(reason, convey.ShouldEqual, ReasonHome)
		hints.AddPending(members[i].Hash, 7)
		occupancy.inFlight[i] = 6
		j, reason, _ := v.Choose(Key{Adapter: 7}, hints, occupancy)
		convey.So(j, convey.ShouldEqual, i)
		convey.So(reason, convey.ShouldEqual, ReasonResident)
	})
	convey.Convey("A request is not sent to an overloaded holder", t, func() {
		members := newMembers(10)
		v, hints, occupancy := NewView(members, costs), NewHints(), newFakeOccupancy(10)
		hints.Set(members[3].Hash, []uint64{7}, 0)
		occupancy.inFlight[3] = 30
		i, reason, _ := v.Choose(Key{Adapter: 7}, hints, occupancy)
		convey.So(i, convey.ShouldNotEqual, 3)
		convey.So(reason, convey.ShouldNotEqual, ReasonResident)
	})
	convey.Convey("The second home is chosen if a load at the first one has a high cost", t, func() {
		members := newMembers(10)
		v, hints, occupancy := NewView(members, costs), NewHints(), newFakeOccupancy(10)
		i, _, _ := v.Choose(Key{Adapter: 7}, hints, occupancy)
		hints.Set(members[i].Hash, nil, 50)
		j, reason, _ := v.Choose(Key{Adapter: 7}, hints, occupancy)
		convey.So(j, convey.ShouldNotEqual, i)
		convey.So(reason, convey.ShouldEqual, ReasonHome)
	})
	convey.Convey("The own region is preferred to the own team, and both to a holder in another region", t, func() {
		members := newMembers(4)
		members[0].Remote = true
		members[1].Remote, members[1].Borrowed = true, true
		members[2].Borrowed = true
		v, hints, occupancy := NewView(members, costs), NewHints(), newFakeOccupancy(4)
		hints.Set(members[0].Hash, []uint64{7}, 0)
		for _, want := range []int{3, 2, 0, 1} {
			i, _, ok := v.Choose(Key{Adapter: 7}, hints, occupancy)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(i, convey.ShouldEqual, want)
			occupancy.down[i] = true
		}
		_, _, ok := v.Choose(Key{Adapter: 7}, hints, occupancy)
		convey.So(ok, convey.ShouldBeFalse)
	})
	convey.Convey("Requests with the same prefix go to the same one of several holders", t, func() {
		members := newMembers(10)
		v, hints, occupancy := NewView(members, costs), NewHints(), newFakeOccupancy(10)
		for _, m := range members[:4] {
			hints.Set(m.Hash, []uint64{7}, 0)
		}
		chosen := map[int]bool{}
		for prefix := range uint64(40) {
			key := Key{Adapter: 7, Prefix: Hash(strconv.FormatUint(prefix, 10))}
			i, _, _ := v.Choose(key, hints, occupancy)
			j, _, _ := v.Choose(key, hints, occupancy)
			convey.So(i, convey.ShouldEqual, j)
			chosen[i] = true
		}
		convey.So(len(chosen), convey.ShouldEqual, 4)
	})
}

func TestViewHomes(t *testing.T) {
	key := func(k int) Key { return Key{Adapter: Hash("t/adapter-" + strconv.Itoa(k) + "@1")} }
	convey.Convey("An adapter always has the same home, and adapters are distributed evenly", t, func() {
		v, hints, occupancy := NewView(newMembers(10), costs), NewHints(), newFakeOccupancy(10)
		counts := make([]int, 10)
		for k := range 10000 {
			i, _, ok := v.Choose(key(k), hints, occupancy)
			j, _, _ := v.Choose(key(k), hints, occupancy)
			convey.So(ok && i == j, convey.ShouldBeTrue)
			counts[i]++
		}
		for _, n := range counts {
			convey.So(n, convey.ShouldBeBetween, 800, 1200)
		}
	})
	convey.Convey("The loss of a target moves only the adapters that it was the home of", t, func() {
		v, hints, occupancy := NewView(newMembers(10), costs), NewHints(), newFakeOccupancy(10)
		moved, homed := 0, 0
		for k := range 1000 {
			occupancy.down[3] = false
			before, _, _ := v.Choose(key(k), hints, occupancy)
			occupancy.down[3] = true
			after, _, _ := v.Choose(key(k), hints, occupancy)
			if before == 3 {
				homed++
			}
			if before != after {
				moved++
			}
		}
		convey.So(moved, convey.ShouldEqual, homed)
	})
	convey.Convey("Requests spill from overloaded homes, and the own region is preferred", t, func() {
		members := newMembers(4)
		v, hints, occupancy := NewView(members, costs), NewHints(), newFakeOccupancy(4)
		home, _, _ := v.Choose(key(1), hints, occupancy)
		occupancy.inFlight[home] = 30
		second, _, _ := v.Choose(key(1), hints, occupancy)
		convey.So(second, convey.ShouldNotEqual, home)
		occupancy.inFlight[second] = 30
		third, reason, _ := v.Choose(key(1), hints, occupancy)
		convey.So(third, convey.ShouldNotEqual, home)
		convey.So(third, convey.ShouldNotEqual, second)
		convey.So(reason, convey.ShouldEqual, ReasonSpill)
		for i := range members {
			members[i].Remote = i != home
		}
		again, _, _ := NewView(members, costs).Choose(key(1), hints, occupancy)
		convey.So(again, convey.ShouldEqual, home)
	})
	convey.Convey("No member is chosen if none is usable", t, func() {
		occupancy := newFakeOccupancy(1)
		occupancy.down[0] = true
		_, _, ok := NewView(newMembers(1), costs).Choose(key(1), NewHints(), occupancy)
		convey.So(ok, convey.ShouldBeFalse)
	})
}

func TestHints(t *testing.T) {
	convey.Convey("Hints are replaced by later ones", t, func() {
		h := NewHints()
		h.Set(1, []uint64{10, 11}, 2)
		h.Set(2, []uint64{11}, 3)
		convey.So(h.Holders(11), convey.ShouldResemble, []uint64{1, 2})
		convey.So(h.EvictionDemand(2), convey.ShouldEqual, 3)
		h.Set(1, []uint64{12}, 2)
		convey.So(h.Holders(10), convey.ShouldBeEmpty)
		convey.So(h.Holders(11), convey.ShouldResemble, []uint64{2})
		h.AddPending(1, 13)
		convey.So(h.Holders(13), convey.ShouldResemble, []uint64{1})
		h.Forget(1)
		convey.So(h.Holders(12), convey.ShouldBeEmpty)
		convey.So(h.Holders(13), convey.ShouldBeEmpty)
	})
}

// BenchmarkViewChoose300 measures one choice with 300 targets that hold eight of
// 63,000 adapters each.
func BenchmarkViewChoose300(b *testing.B) {
	const adapters = 63000
	members := newMembers(300)
	v, hints, occupancy := NewView(members, costs), NewHints(), newFakeOccupancy(300)
	for i, m := range members {
		resident := make([]uint64, 8)
		for n := range resident {
			resident[n] = Mix(uint64(i*8 + n))
		}
		hints.Set(m.Hash, resident, 3)
	}
	var o Occupancy = occupancy
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		if _, _, ok := v.Choose(Key{Adapter: Mix(n % adapters)}, hints, o); !ok {
			b.Fatal("no target")
		}
	}
}
