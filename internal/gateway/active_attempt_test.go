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

// runStallChecks runs cancelStalled at the interval that the process uses, until
// the test ends.
func (tg *testGateway) runStallChecks(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		ticker := time.NewTicker(usageInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				tg.fleet.cancelStalled(now)
			}
		}
	}()
}

// markVMAlive records a liveness signal of a target's VM some time ago.
func (tg *testGateway) markVMAlive(id string, ago time.Duration) {
	tg.fleet.recordVMAlive(time.Now().Add(-ago), tg.fleet.targets[id])
}

func TestStalledVM(t *testing.T) {
	convey.Convey("Given a target that accepted a request and sends no response", t, func() {
		ft := newFakeTarget(t, "t1", respond(200, "", signed))
		ft.steps = []step{ft.hang()}
		tg := newTestGateway(t, ft)
		tg.runStallChecks(t)
		call := func(path string) (reply, time.Duration) {
			start := time.Now()
			got := tg.call(t, path, "Deadline", "6000")
			return got, time.Since(start)
		}
		convey.Convey("the attempt is canceled after the stall timeout, and its connection is closed", func() {
			tg.markVMAlive("t1", 0)
			got, took := call("/patient/x")
			convey.So(got.status, convey.ShouldEqual, 502)
			convey.So(took, convey.ShouldBeBetween, stallTimeout, stallTimeout+2*usageInterval+200*time.Millisecond)
			convey.So(eventually(func() bool { return ft.disconnects.Load() == 1 }), convey.ShouldBeTrue)
			convey.So(strings.Contains(tg.logText(), "target_still"), convey.ShouldBeTrue)
		})
		convey.Convey("the attempt is canceled earlier if the caller's timeout is near", func() {
			tg.markVMAlive("t1", 0)
			got, took := call("/once/x") // the callers of this route wait for two seconds
			convey.So(got.status, convey.ShouldEqual, 502)
			convey.So(took, convey.ShouldBeBetween, minCallerTimeout-callerTimeoutMargin, minCallerTimeout)
		})
		convey.Convey("the attempt continues while the VM gives liveness signals", func() {
			go func() {
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					tg.markVMAlive("t1", 0)
				}
			}()
			got, took := call("/patient/x")
			convey.So(got.status, convey.ShouldEqual, 504)
			convey.So(took, convey.ShouldBeGreaterThan, stallTimeout+time.Second)
		})
		convey.Convey("the attempt continues if the VM never gave a liveness signal", func() {
			got, took := call("/patient/x")
			convey.So(got.status, convey.ShouldEqual, 504)
			convey.So(took, convey.ShouldBeGreaterThan, stallTimeout+time.Second)
		})
	})
	convey.Convey("Given a stream that continues although the VM's targetd is silent", t, func() {
		ft := newFakeTarget(t, "t1", func(c net.Conn, r *http.Request) bool {
			return sendSlowEvents(c, r, 12, 300*time.Millisecond)
		})
		tg := newTestGateway(t, ft)
		tg.runStallChecks(t)
		tg.markVMAlive("t1", stallTimeout)
		convey.Convey("it is relayed completely", func() {
			got := tg.call(t, "/patient/x", "Deadline", "6000")
			convey.So(got.truncated, convey.ShouldBeFalse)
			convey.So(got.body, convey.ShouldEqual, events(1, 12))
		})
	})
	convey.Convey("After a pause of its own, the process waits for liveness signals again before it cancels attempts", t, func() {
		now := time.Now()
		f := engineFleet(now, 1)
		engine := f.targets["i-0"]
		engine.vmAliveAt = now
		canceled := false
		f.cancelStalled(now)
		c := callFor("a1")
		c.start, c.route.Objective = now, time.Minute // rules out the caller's timeout as the cause
		f.beginAttempt(now, engine, c, nil, func() { canceled = true })
		later := now.Add(2 * stallTimeout)
		f.cancelStalled(later)
		convey.So(canceled, convey.ShouldBeFalse)
		for later.Before(now.Add(4 * stallTimeout)) {
			later = later.Add(usageInterval)
			f.cancelStalled(later)
		}
		convey.So(canceled, convey.ShouldBeTrue)
	})
}

func TestAttemptStalled(t *testing.T) {
	epoch := time.Unix(1000, 0)
	const timeout = 4 * time.Second
	tests := []struct {
		name         string
		lastActivity time.Duration // after the caller's request
		hasEvent     bool
		vmSilent     time.Duration // time since the VM's last liveness signal
		now          time.Duration // after the caller's request
		want         bool
	}{
		{"a VM that gives liveness signals", 0, false, 100 * time.Millisecond, 3900 * time.Millisecond, false},
		{"a silent VM, the caller's timeout is not near", 0, false, 2 * time.Second, 2 * time.Second, false},
		{"a VM that is silent for longer than the stall timeout", 0, false, stallTimeout + 1, stallTimeout + 1, true},
		{"a silent VM, the caller's timeout is near", time.Second, false, heartbeatOverdue + 1, timeout - callerTimeoutMargin + 1, true},
		{"the same, with a recent event", 3400 * time.Millisecond, true, heartbeatOverdue + 1, timeout - callerTimeoutMargin + 1, false},
		{"a silent VM, the timeout for the next event is near", 2 * time.Second, true, heartbeatOverdue + 1, 2*time.Second + timeout - callerTimeoutMargin + 1, true},
		{"a silent VM, the timeout for the next event is not near", 2 * time.Second, true, 2 * time.Second, 4 * time.Second, false},
		{"a silent VM, the attempt was sent recently", 3300 * time.Millisecond, false, 2 * time.Second, 3600 * time.Millisecond, false},
	}
	convey.Convey("A stalled attempt is canceled before its caller times out", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				a := &activeAttempt{callStart: epoch, callerTimeout: timeout, hasEvent: test.hasEvent}
				a.lastActivity.Store(int64(test.lastActivity))
				convey.So(a.stalled(epoch.Add(test.now), epoch, test.vmSilent), convey.ShouldEqual, test.want)
			})
		}
	})
}
