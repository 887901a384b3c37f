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
