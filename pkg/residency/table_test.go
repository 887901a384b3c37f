package residency

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(name string) adapter.ID {
	return adapter.ID{Team: "t", Ref: adapter.Ref{Name: name, Version: 1}}
}

func load(t *Table, now time.Time, name string) {
	t.Prepare(now, id(name))
	t.Loaded(id(name))
}

func TestTable(t *testing.T) {
	convey.Convey("An adapter is loaded once and then ready", t, func() {
		tab := New(2)
		convey.So(tab.Prepare(start, id("a")).Kind, convey.ShouldEqual, Load)
		convey.So(tab.Prepare(start, id("a")).Kind, convey.ShouldEqual, Wait)
		tab.Loaded(id("a"))
		convey.So(tab.Prepare(start, id("a")).Kind, convey.ShouldEqual, Ready)
	})
	convey.Convey("Two versions of an adapter occupy separate entries", t, func() {
		tab := New(2)
		load(tab, start, "a")
		v2 := id("a")
		v2.Ref.Version = 2
		convey.So(tab.Prepare(start, v2).Kind, convey.ShouldEqual, Load)
	})
	convey.Convey("A pinned adapter is never evicted", t, func() {
		tab := New(2)
		load(tab, start, "old")
		load(tab, start.Add(time.Second), "new")
		tab.Pin(start, id("old"))
		step := tab.Prepare(start, id("c"))
		convey.So(step, convey.ShouldResemble, Step{Kind: Unload, Victim: id("new")})
		tab.Unloaded(id("new"))
		convey.So(tab.Prepare(start, id("c")).Kind, convey.ShouldEqual, Load)
		tab.Loaded(id("c"))
		tab.Pin(start, id("c"))
		convey.So(tab.Prepare(start, id("d")).Kind, convey.ShouldEqual, Wait)
		tab.Unpin(start, id("old"))
		convey.So(tab.Prepare(start, id("d")), convey.ShouldResemble, Step{Kind: Unload, Victim: id("old")})
	})
	convey.Convey("A restart clears the table, and reports from before it are ignored", t, func() {
		tab := New(2)
		load(tab, start, "a")
		tab.Pin(start, id("a"))
		tab.Prepare(start, id("b"))
		tab.Restarted()
		tab.Loaded(id("b"))
		tab.Unpin(start, id("a"))
		convey.So(tab.State(id("a")), convey.ShouldEqual, Absent)
		convey.So(tab.State(id("b")), convey.ShouldEqual, Absent)
	})
	convey.Convey("A failed load frees its slot", t, func() {
		tab := New(1)
		tab.Prepare(start, id("a"))
		tab.LoadFailed(id("a"))
		convey.So(tab.Prepare(start, id("b")).Kind, convey.ShouldEqual, Load)
	})
}
