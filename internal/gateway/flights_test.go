package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// watch looks at the attempts as the process does, until the test ends.
func (w *world) watch(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		ticker := time.NewTicker(useInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				w.fleet.leaveStill(now)
			}
		}
	}()
}

// sign notes a sign of a target's VM some time ago.
func (w *world) sign(id string, ago time.Duration) {
	w.fleet.alive(time.Now().Add(-ago), w.fleet.nodes[id])
}

func TestStillVM(t *testing.T) {
	convey.Convey("Given a target that took a request and answers nothing", t, func() {
		s := newTarget(t, "t1", answers(200, "", signed))
		s.steps = []step{s.hangs()}
		w := newWorld(t, s)
		w.watch(t)
		call := func(path string) (reply, time.Duration) {
			begun := time.Now()
			got := w.call(t, path, "Deadline", "6000")
			return got, time.Since(begun)
		}
		convey.Convey("the request ends once its VM gave no sign for long, and the target is left", func() {
			w.sign("t1", 0)
			got, took := call("/patient/x")
			convey.So(got.status, convey.ShouldEqual, 502)
			convey.So(took, convey.ShouldBeBetween, stillAfter, stillAfter+2*useInterval+200*time.Millisecond)
			convey.So(eventually(func() bool { return s.gone.Load() == 1 }), convey.ShouldBeTrue)
			convey.So(strings.Contains(w.logged(), "target_still"), convey.ShouldBeTrue)
		})
		convey.Convey("it waits while the VM gives signs", func() {
			go func() {
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					w.sign("t1", 0)
				}
			}()
			got, took := call("/patient/x")
			convey.So(got.status, convey.ShouldEqual, 504)
			convey.So(took, convey.ShouldBeGreaterThan, stillAfter+time.Second)
		})
		convey.Convey("it waits when the VM never gave one: nothing is known of it", func() {
			got, took := call("/patient/x")
			convey.So(got.status, convey.ShouldEqual, 504)
			convey.So(took, convey.ShouldBeGreaterThan, stillAfter+time.Second)
		})
	})
	convey.Convey("Given a stream that goes on though the VM's targetd is silent", t, func() {
		s := newTarget(t, "t1", func(c net.Conn, r *http.Request) bool {
			return slowStream(c, r, 12, 300*time.Millisecond)
		})
		w := newWorld(t, s)
		w.watch(t)
		w.sign("t1", stillAfter)
		convey.Convey("it is passed on whole", func() {
			got := w.call(t, "/patient/x", "Deadline", "6000")
			convey.So(got.cut, convey.ShouldBeFalse)
			convey.So(got.body, convey.ShouldEqual, events(1, 12))
		})
	})
	convey.Convey("A process that stood still itself hears its targets again before it judges them", t, func() {
		now := time.Now()
		f := engineFleet(now, 1)
		n := f.nodes["i-0"]
		n.aliveAt = now
		ended := false
		f.leaveStill(now)
		f.begin(now, n, callFor("a1").adapter, func() { ended = true })
		later := now.Add(2 * stillAfter)
		f.leaveStill(later)
		convey.So(ended, convey.ShouldBeFalse)
		for later.Before(now.Add(4 * stillAfter)) {
			later = later.Add(useInterval)
			f.leaveStill(later)
		}
		convey.So(ended, convey.ShouldBeTrue)
	})
}
