package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

func TestRecent(t *testing.T) {
	convey.Convey("The latest adapters are kept, a bounded number", t, func() {
		var r recent
		now := time.Unix(100, 0)
		for i := range 1000 {
			now = now.Add(time.Second)
			r.note(now, map[orders.Adapter]int64{{Name: fmt.Sprint(i)}: 1, {Name: "popular"}: 1})
			convey.So(len(r.held), convey.ShouldBeLessThanOrEqualTo, 2*recentKept)
			convey.So(r.has(orders.Adapter{Name: "popular"}, 1), convey.ShouldBeTrue)
			if i >= recentKept {
				convey.So(r.has(orders.Adapter{Name: fmt.Sprint(i - recentKept + 1)}, 1), convey.ShouldBeTrue)
			}
		}
		convey.So(r.has(orders.Adapter{Name: "1"}, 1), convey.ShouldBeFalse)
	})
	convey.Convey("An adapter goes back to an engine that held it lately", t, func() {
		now := time.Now()
		f := engineFleet(now, 6)
		c := callFor("a1")
		home, _ := f.choose(now, c)
		for id, n := range f.nodes {
			if id == home.replica.ID {
				continue
			}
			n.believe(now, peer.EngineState{Reachable: true, Models: []string{"m"}, Resident: []peer.AdapterVersion{{Model: "m", Adapter: "a1", Version: 1}}})
			n.believe(now, peer.EngineState{Reachable: true, Models: []string{"m"}})
			got, _ := f.choose(now, c)
			convey.So(got.holds, convey.ShouldBeFalse)
			convey.So(got.replica.ID, convey.ShouldEqual, id)
			convey.So(got.wait, convey.ShouldEqual, warmLoad)
			f.versions[c.adapter] = 2
			got, _ = f.choose(now, c)
			convey.So(got.replica.ID, convey.ShouldEqual, home.replica.ID)
			break
		}
	})
}
