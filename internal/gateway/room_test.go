package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestRoom(t *testing.T) {
	convey.Convey("Requests and bodies stay within the limits", t, func() {
		r := newRoom(ownDescriptors+2*requestDescriptors, 4000)
		a, ok := r.enter(600)
		convey.So(ok, convey.ShouldBeTrue)
		_, ok = r.enter(600)
		convey.So(ok, convey.ShouldBeFalse) // a quarter of the memory is 1000
		a = r.resize(a, 100)
		b, ok := r.enter(600)
		convey.So(ok, convey.ShouldBeTrue)
		_, ok = r.enter(0)
		convey.So(ok, convey.ShouldBeFalse) // the descriptors are taken
		r.leave(a)
		r.leave(b)
		convey.So(r.bytes, convey.ShouldEqual, 0)
		_, ok = r.enter(-1)
		convey.So(ok, convey.ShouldBeTrue) // alone, however large
	})
	convey.Convey("Without limits there is always room", t, func() {
		r := newRoom(0, 0)
		for range 10000 {
			_, ok := r.enter(1 << 20)
			convey.So(ok, convey.ShouldBeTrue)
		}
	})
}

func TestFullGateway(t *testing.T) {
	convey.Convey("Requests beyond the limits are refused at once, and were not run", t, func() {
		s := newTarget(t, "t1", answers(200, "", signed))
		s.steps = []step{s.hangs()}
		w := newWorld(t, s)
		w.gateway.room = newRoom(ownDescriptors+3*requestDescriptors, 0)
		ctx, cancel := context.WithCancel(context.Background())
		var refused atomic.Int32
		var wg sync.WaitGroup
		for range 20 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if got := w.callWith(ctx, t, "/unsafe/x"); got.status == 503 && got.header.Get("Retry-After") != "" {
					refused.Add(1)
				}
			}()
		}
		convey.So(eventually(func() bool { return refused.Load() == 17 }), convey.ShouldBeTrue)
		convey.So(len(s.requests()), convey.ShouldEqual, 3)
		cancel()
		wg.Wait()
		s.mu.Lock()
		s.steps = []step{answers(200, "ok", signed)}
		s.mu.Unlock()
		convey.So(eventually(func() bool { return w.gateway.inProgress.Load() == 0 }), convey.ShouldBeTrue)
		convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		time.Sleep(10 * time.Millisecond) // the handler returns after its answer
		convey.So(w.gateway.room.requests, convey.ShouldEqual, 0)
	})
}
