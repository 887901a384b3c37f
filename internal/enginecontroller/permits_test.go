package enginecontroller

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// rateLimits returns the limits that were received.
func (e *fakeEntryd) rateLimits() []peer.RateLimit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]peer.RateLimit(nil), e.limits...)
}

// granted returns the number of permits that were received.
func (e *fakeEntryd) granted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.permits {
		if a.Granted {
			n++
		}
	}
	return n
}

func TestPermits(t *testing.T) {
	convey.Convey("Given a targetd with two entryds", t, func() {
		addr := startController(t, &fakeEngine{report: orders.Report{Started: 7}})
		a, b := connect(t, addr, "e1"), connect(t, addr, "e2")
		convey.So(eventually(func() bool { return b.state().ConnectedEntries == 2 || a.state().ConnectedEntries == 2 }), convey.ShouldBeTrue)
		limit := peer.RateLimit{Target: "t1/7", Limited: true, PerSecond: 20}
		convey.Convey("a limit reaches the other entryd, and one that connects later", func() {
			a.send(t, limit)
			a.send(t, limit)
			convey.So(eventually(func() bool { return len(b.rateLimits()) == 1 }), convey.ShouldBeTrue)
			convey.So(b.rateLimits()[0], convey.ShouldResemble, limit)
			time.Sleep(20 * time.Millisecond)
			c := connect(t, addr, "e3")
			convey.So(eventually(func() bool { return len(c.rateLimits()) == 1 }), convey.ShouldBeTrue)
			convey.So(c.rateLimits()[0].Age, convey.ShouldBeGreaterThanOrEqualTo, 20*time.Millisecond)
			convey.Convey("and its end", func() {
				b.send(t, peer.RateLimit{Target: "t1/7"})
				convey.So(eventually(func() bool { return len(a.rateLimits()) == 1 && len(c.rateLimits()) == 2 }), convey.ShouldBeTrue)
				convey.So(a.rateLimits()[0].Limited, convey.ShouldBeFalse)
			})
		})
		convey.Convey("the entryds share the permits, and learn of the limit from each other's requests", func() {
			began := time.Now()
			for id := range uint64(5) {
				a.send(t, peer.PermitRequest{ID: id, Limit: limit, Within: time.Minute})
				b.send(t, peer.PermitRequest{ID: id, Limit: limit, Within: time.Minute})
			}
			convey.So(eventually(func() bool { return a.granted()+b.granted() == 10 }), convey.ShouldBeTrue)
			convey.So(time.Since(began), convey.ShouldBeBetween, 450*time.Millisecond, 800*time.Millisecond)
			convey.So(len(a.rateLimits())+len(b.rateLimits()), convey.ShouldEqual, 1)
		})
		convey.Convey("an entryd that is lost or gives its requests up leaves its permits to the other", func() {
			for id := range uint64(20) {
				a.send(t, peer.PermitRequest{ID: id, Limit: limit, Within: time.Minute})
			}
			convey.So(eventually(func() bool { return a.granted() > 0 }), convey.ShouldBeTrue)
			b.send(t, peer.PermitRequest{ID: 1, Limit: limit, Within: time.Minute})
			b.send(t, peer.PermitRequest{ID: 2, Limit: limit, Within: time.Minute})
			b.send(t, peer.PermitCancel{ID: 1})
			a.conn.Close()
			began := time.Now()
			convey.So(eventually(func() bool { return b.granted() == 1 }), convey.ShouldBeTrue)
			convey.So(time.Since(began), convey.ShouldBeLessThan, 400*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			convey.So(b.granted(), convey.ShouldEqual, 1)
		})
	})
}

// Two entryds must not get the credit of one workspace twice.
func TestCredit(t *testing.T) {
	convey.Convey("Given a targetd with two entryds that regard it as the issuer of a workspace", t, func() {
		addr := startController(t, &fakeEngine{report: orders.Report{Started: 7}})
		a, b := connect(t, addr, "e1"), connect(t, addr, "e2")
		convey.So(a.conn.IssuesCredit(), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return b.state().ConnectedEntries == 2 || a.state().ConnectedEntries == 2 }), convey.ShouldBeTrue)
		time.Sleep(300 * time.Millisecond) // so that some credit is due
		for _, e := range []*fakeEntryd{a, b} {
			e.send(t, peer.CreditRequest{ID: 5, First: true, Entryds: 2, Workspaces: []peer.CreditDemand{
				{Workspace: "w", PerSecond: 1000, Burst: 1000, Version: 1, Ask: 800, Need: 50, Demand: 2000},
			}})
			convey.So(eventually(func() bool {
				e.mu.Lock()
				defer e.mu.Unlock()
				return len(e.credit) == 1
			}), convey.ShouldBeTrue)
			convey.So(e.credit[0].ID, convey.ShouldEqual, 5)
			convey.So(e.credit[0].Grants, convey.ShouldHaveLength, 1)
		}
		granted := a.credit[0].Grants[0].Units + b.credit[0].Grants[0].Units
		convey.So(granted, convey.ShouldBeLessThan, 400) // an issuer that has just begun has no burst
		convey.So(b.credit[0].Grants[0].Short, convey.ShouldBeTrue)
	})
}
