package residency

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
)

func TestReconcile(t *testing.T) {
	convey.Convey("Adapters that the engine holds are adopted up to the table's capacity", t, func() {
		tab := New(2)
		load(tab, start, "a")
		c := tab.Reconcile([]adapter.ID{id("a"), id("b"), id("c")}, tab.Generation())
		convey.So(c.Adopted, convey.ShouldResemble, []adapter.ID{id("b")})
		convey.So(c.Unload, convey.ShouldResemble, []adapter.ID{id("c")})
		convey.So(tab.Prepare(start, id("b")).Kind, convey.ShouldEqual, Ready)
		convey.So(tab.Resident(), convey.ShouldResemble, []adapter.ID{id("a"), id("b")})
	})
	convey.Convey("Adapters that the engine does not hold become absent unless pinned or loading", t, func() {
		tab := New(4)
		load(tab, start, "lost")
		load(tab, start, "pinned")
		tab.Pin(start, id("pinned"))
		tab.Prepare(start, id("loading"))
		c := tab.Reconcile(nil, tab.Generation())
		convey.So(c, convey.ShouldResemble, Correction{Lost: []adapter.ID{id("lost")}})
		convey.So(tab.State(id("lost")), convey.ShouldEqual, Absent)
		convey.So(tab.State(id("pinned")), convey.ShouldEqual, Resident)
		convey.So(tab.State(id("loading")), convey.ShouldEqual, Loading)
	})
	convey.Convey("A list that is older than an entry's last change does not modify the entry", t, func() {
		tab := New(4)
		load(tab, start, "old")
		tab.fire(tab.entries[id("old")], unloadOrdered)
		before := tab.Generation()
		tab.Unloaded(id("old"))
		load(tab, start, "new")
		convey.So(tab.Reconcile([]adapter.ID{id("old")}, before), convey.ShouldResemble, Correction{})
		convey.So(tab.State(id("old")), convey.ShouldEqual, Absent)
		convey.So(tab.State(id("new")), convey.ShouldEqual, Resident)
		later := tab.Reconcile([]adapter.ID{id("old"), id("new")}, tab.Generation())
		convey.So(later.Adopted, convey.ShouldResemble, []adapter.ID{id("old")})
	})
	convey.Convey("A missing adapter loses its pins and must be loaded again", t, func() {
		tab := New(1)
		load(tab, start, "a")
		tab.Pin(start, id("a"))
		tab.RecordMissing(id("a"))
		convey.So(tab.Pins(id("a")), convey.ShouldEqual, 0)
		convey.So(tab.Prepare(start, id("a")).Kind, convey.ShouldEqual, Load)
		tab.RecordMissing(id("a"))
		convey.So(tab.State(id("a")), convey.ShouldEqual, Loading)
		tab.Loaded(id("a"))
		convey.So(tab.Prepare(start.Add(time.Second), id("a")).Kind, convey.ShouldEqual, Ready)
	})
}
