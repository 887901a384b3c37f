package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

func TestRecentAdapters(t *testing.T) {
	convey.Convey("A bounded number of the most recent adapters is kept", t, func() {
		var r recentAdapters
		now := time.Unix(100, 0)
		for i := range 1000 {
			now = now.Add(time.Second)
			r.record(now, map[orders.Adapter]int64{{Name: fmt.Sprint(i)}: 1, {Name: "popular"}: 1})
			convey.So(len(r.lastSeen), convey.ShouldBeLessThanOrEqualTo, 2*maxRecentAdapters)
			convey.So(r.hasVersion(orders.Adapter{Name: "popular"}, 1), convey.ShouldBeTrue)
			if i >= maxRecentAdapters {
				convey.So(r.hasVersion(orders.Adapter{Name: fmt.Sprint(i - maxRecentAdapters + 1)}, 1), convey.ShouldBeTrue)
			}
		}
		convey.So(r.hasVersion(orders.Adapter{Name: "1"}, 1), convey.ShouldBeFalse)
	})
	convey.Convey("An adapter is loaded by an engine that held it recently", t, func() {
		now := time.Now()
		f := engineFleet(now, 6)
		c := callFor("a1")
		preferred, _ := f.choose(now, c)
		for id, engine := range f.targets {
			if id == preferred.replica.ID {
				continue
			}
			engine.applyState(now, peer.EngineState{Reachable: true, Models: []string{"m"}, Resident: []peer.AdapterVersion{{Model: "m", Adapter: "a1", Version: 1}}})
			engine.applyState(now, peer.EngineState{Reachable: true, Models: []string{"m"}})
			got, _ := f.choose(now, c)
			convey.So(got.resident, convey.ShouldBeFalse)
			convey.So(got.replica.ID, convey.ShouldEqual, id)
			convey.So(got.wait, convey.ShouldEqual, warmLoadTime)
			f.versions[c.adapter] = 2
			got, _ = f.choose(now, c)
			convey.So(got.replica.ID, convey.ShouldEqual, preferred.replica.ID)
			break
		}
	})
}
