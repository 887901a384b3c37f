package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/routing"
)

// TestRouteBecomesSafe guards against a request that may run once and is sent again
// because a new configuration makes its route safe or its stream resumable.
func TestRouteBecomesSafe(t *testing.T) {
	convey.Convey("The kind of a request is that of its route when it arrived", t, func() {
		for _, path := range []string{"/unsafe/x", "/once/x"} {
			var runs atomic.Int32
			var tg *testGateway
			breakOff := func(c net.Conn, r *http.Request) bool {
				runs.Add(1)
				routes := testRoutes()
				for i := range routes {
					if routes[i].Kind == routing.Unsafe {
						routes[i].Kind = routing.Safe
					}
					routes[i].Resumable, routes[i].MaxAttempts = true, 4
				}
				cfg := routing.New(4, routes, []routing.Service{{Name: "s"}}, routing.Limits{BodyBytes: 1000})
				tg.gateway.Configuration.Store(cfg)
				tg.fleet.setConfiguration(cfg)
				time.Sleep(5 * time.Millisecond)
				return resetAfter("")(c, r)
			}
			tg = newTestGateway(t, newFakeTarget(t, "t1", breakOff), newFakeTarget(t, "t2", breakOff))
			convey.So(tg.call(t, path).status, convey.ShouldEqual, 502)
			convey.So(runs.Load(), convey.ShouldEqual, 1)
		}
	})
}
