package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestAdmissionControl(t *testing.T) {
	convey.Convey("Requests and their bodies stay within the limits", t, func() {
		ac := newAdmissionControl(reservedDescriptors+2*requestDescriptors, 4000<<10)
		a, ok := ac.acquire(600 << 10)
		convey.So(ok, convey.ShouldBeTrue)
		_, ok = ac.acquire(600 << 10)
		convey.So(ok, convey.ShouldBeFalse) // a quarter of the memory is 1000 KiB
		a = ac.resize(a, 100<<10)
		b, ok := ac.acquire(600 << 10)
		convey.So(ok, convey.ShouldBeTrue)
		_, ok = ac.acquire(0)
		convey.So(ok, convey.ShouldBeFalse) // the descriptors are used up
		ac.release(a)
		ac.release(b)
		convey.So(ac.bytes, convey.ShouldEqual, 0)
		_, ok = ac.acquire(-1)
		convey.So(ok, convey.ShouldBeTrue) // admitted whatever its size, as no bytes are reserved
	})
	convey.Convey("Without limits every request is admitted", t, func() {
		ac := newAdmissionControl(0, 0)
		for range 10000 {
			_, ok := ac.acquire(1 << 20)
			convey.So(ok, convey.ShouldBeTrue)
		}
	})
}

func TestAdmissionRejection(t *testing.T) {
	convey.Convey("Requests beyond the limits are rejected immediately and do not run", t, func() {
		ft := newFakeTarget(t, "t1", respond(200, "", signed))
		ft.steps = []step{ft.hang()}
		tg := newTestGateway(t, ft)
		tg.gateway.admission = newAdmissionControl(reservedDescriptors+3*requestDescriptors, 0)
		ctx, cancel := context.WithCancel(context.Background())
		var rejected atomic.Int32
		var wg sync.WaitGroup
		for range 20 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if got := tg.callWith(ctx, t, "/unsafe/x"); got.status == 503 && got.header.Get("Retry-After") != "" {
					rejected.Add(1)
				}
			}()
		}
		convey.So(eventually(func() bool { return rejected.Load() == 17 }), convey.ShouldBeTrue)
		convey.So(len(ft.requests()), convey.ShouldEqual, 3)
		cancel()
		wg.Wait()
		ft.mu.Lock()
		ft.steps = []step{respond(200, "ok", signed)}
		ft.mu.Unlock()
		convey.So(eventually(func() bool { return tg.gateway.inProgress.Load() == 0 }), convey.ShouldBeTrue)
		convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		time.Sleep(10 * time.Millisecond) // the handler returns after its response was received
		convey.So(tg.gateway.admission.requests, convey.ShouldEqual, 0)
	})
}
