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
		r := newAdmissionControl(reservedDescriptors+2*requestDescriptors, 4000)
		a, ok := r.acquire(600)
		convey.So(ok, convey.ShouldBeTrue)
		_, ok = r.acquire(600)
		convey.So(ok, convey.ShouldBeFalse) // a quarter of the memory is 1000
		a = r.resize(a, 100)
		b, ok := r.acquire(600)
		convey.So(ok, convey.ShouldBeTrue)
		_, ok = r.acquire(0)
		convey.So(ok, convey.ShouldBeFalse) // the descriptors are used up
		r.release(a)
		r.release(b)
		convey.So(r.bytes, convey.ShouldEqual, 0)
		_, ok = r.acquire(-1)
		convey.So(ok, convey.ShouldBeTrue) // admitted whatever its size, as no bytes are reserved
	})
	convey.Convey("Without limits every request is admitted", t, func() {
		r := newAdmissionControl(0, 0)
		for range 10000 {
			_, ok := r.acquire(1 << 20)
			convey.So(ok, convey.ShouldBeTrue)
		}
	})
}

func TestAdmissionRejection(t *testing.T) {
	convey.Convey("Requests beyond the limits are rejected immediately and do not run", t, func() {
		s := newFakeTarget(t, "t1", respond(200, "", signed))
		s.steps = []step{s.hang()}
		w := newTestGateway(t, s)
		w.gateway.admission = newAdmissionControl(reservedDescriptors+3*requestDescriptors, 0)
		ctx, cancel := context.WithCancel(context.Background())
		var rejected atomic.Int32
		var wg sync.WaitGroup
		for range 20 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if got := w.callWith(ctx, t, "/unsafe/x"); got.status == 503 && got.header.Get("Retry-After") != "" {
					rejected.Add(1)
				}
			}()
		}
		convey.So(eventually(func() bool { return rejected.Load() == 17 }), convey.ShouldBeTrue)
		convey.So(len(s.requests()), convey.ShouldEqual, 3)
		cancel()
		wg.Wait()
		s.mu.Lock()
		s.steps = []step{respond(200, "ok", signed)}
		s.mu.Unlock()
		convey.So(eventually(func() bool { return w.gateway.inProgress.Load() == 0 }), convey.ShouldBeTrue)
		convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		time.Sleep(10 * time.Millisecond) // the handler returns after its response was received
		convey.So(w.gateway.admission.requests, convey.ShouldEqual, 0)
	})
}
