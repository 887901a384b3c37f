package enginecontroller

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/orders"
)

// TestEntrydCountStale guards against entryds that know only of those that were connected
// before them, so that each takes too large a part of what they share.
func TestEntrydCountStale(t *testing.T) {
	convey.Convey("Each entryd learns of those that connect and leave later", t, func() {
		addr := startController(t, &fakeEngine{report: orders.Report{Started: 7}})
		var entryds []*fakeEntryd
		for _, name := range []string{"e1", "e2", "e3"} {
			e := connect(t, addr, name)
			e.send(t, engineSpec("i", 7))
			convey.So(eventually(func() bool { return e.state().Reachable }), convey.ShouldBeTrue)
			entryds = append(entryds, e)
		}
		know := func(n int) bool {
			return eventually(func() bool {
				for _, e := range entryds {
					if e.state().ConnectedEntries != n {
						return false
					}
				}
				return true
			})
		}
		convey.So(know(3), convey.ShouldBeTrue)
		entryds[2].conn.Close()
		entryds = entryds[:2]
		convey.So(know(2), convey.ShouldBeTrue)
	})
}

// TestEntrydCountedTwice guards against a share of the retries and of limited rates that is
// too small because an entryd has a connection for each entry with the engine's address.
func TestEntrydCountedTwice(t *testing.T) {
	convey.Convey("An entryd with two connections counts once", t, func() {
		addr := startController(t, &fakeEngine{report: orders.Report{Started: 7}})
		first := connect(t, addr, "e1")
		first.send(t, engineSpec("i", 7))
		convey.So(eventually(func() bool { return first.state().Reachable }), convey.ShouldBeTrue)
		second := connect(t, addr, "e1")
		second.send(t, engineSpec("y", 9))
		convey.So(eventually(func() bool { return second.state().Reachable }), convey.ShouldBeTrue)
		convey.So(second.state().ConnectedEntries, convey.ShouldEqual, 1)
		other := connect(t, addr, "e2")
		convey.So(eventually(func() bool { return other.state().ConnectedEntries == 2 }), convey.ShouldBeTrue)
		second.conn.Close()
		convey.So(eventually(func() bool { return first.state().ConnectedEntries == 2 }), convey.ShouldBeTrue)
	})
}
