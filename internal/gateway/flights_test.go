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
		convey.Convey("it ends sooner when its caller is about to leave", func() {
			w.sign("t1", 0)
			got, took := call("/once/x") // its callers wait for two seconds
			convey.So(got.status, convey.ShouldEqual, 502)
			convey.So(took, convey.ShouldBeBetween, leastPatience-leavingWithin, leastPatience)
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
		c := callFor("a1")
		c.start, c.route.Objective = now, time.Minute // a patient caller
		f.begin(now, n, c, func() { ended = true })
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

func TestFlightLost(t *testing.T) {
	epoch := time.Unix(1000, 0)
	const patience = 4 * time.Second
	tests := []struct {
		about    string
		heard    time.Duration // after the caller's request
		answered bool
		silent   time.Duration // of the VM
		now      time.Duration
		want     bool
	}{
		{"a VM that gives signs", 0, false, 100 * time.Millisecond, 3900 * time.Millisecond, false},
		{"a silent VM, a caller that has time", 0, false, 2 * time.Second, 2 * time.Second, false},
		{"a VM that is silent for long", 0, false, stillAfter + 1, stillAfter + 1, true},
		{"a silent VM, a caller about to leave", time.Second, false, signOverdue + 1, patience - leavingWithin + 1, true},
		{"the same, with an event just now", 3400 * time.Millisecond, true, signOverdue + 1, patience - leavingWithin + 1, false},
		{"a caller about to leave midway", 2 * time.Second, true, signOverdue + 1, 2*time.Second + patience - leavingWithin + 1, true},
		{"a caller with time midway", 2 * time.Second, true, 2 * time.Second, 4 * time.Second, false},
		{"an attempt that was sent late to a VM that is silent", 3300 * time.Millisecond, false, 2 * time.Second, 3600 * time.Millisecond, false},
	}
	convey.Convey("An attempt is ended before its caller leaves", t, func() {
		for _, test := range tests {
			convey.Convey(test.about, func() {
				a := &flight{begun: epoch, patience: patience, answered: test.answered}
				a.heard.Store(int64(test.heard))
				convey.So(a.lost(epoch.Add(test.now), epoch, test.silent), convey.ShouldEqual, test.want)
			})
		}
	})
}
