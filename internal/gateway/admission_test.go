package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/routing"
)

// enter admits a request of the workspace of that name, of a deployment without workspaces
// if it is empty.
func enter(ac *admissionControl, workspace string) *place {
	cfg := routing.New(1, nil, nil, routing.Limits{})
	var w *routing.Workspace
	if workspace != "" {
		w = &routing.Workspace{Name: workspace}
		var ws routing.Workspaces
		ws.Add(*w, nil)
		cfg.SetWorkspaces(ws)
	}
	p, _ := ac.enter(time.Now(), cfg, w)
	return p
}

func TestAdmissionControl(t *testing.T) {
	convey.Convey("Requests stay within the limits on descriptors and memory", t, func() {
		ac := newAdmissionControl(reservedDescriptors+2*requestDescriptors, 0)
		convey.So(enter(ac, ""), convey.ShouldNotBeNil)
		first := enter(ac, "")
		convey.So(first, convey.ShouldNotBeNil)
		convey.So(enter(ac, ""), convey.ShouldBeNil)
		first.leave(time.Now())
		convey.So(enter(ac, ""), convey.ShouldNotBeNil)
	})
	convey.Convey("The sum of all limits, twice for the garbage collector, fits into the memory beside the process", t, func() {
		for _, megabytes := range []int64{96, 144, 160, 184, 284, 424, 536, 4096} {
			for _, descriptors := range []int{0, 1000, 4100, 10250, 1 << 20} {
				memory := megabytes << 20
				ac := newAdmissionControl(descriptors, memory)
				sum := processBytes + collectorFactor*(int64(ac.maxRequests)*requestBytes+ac.maxShared)
				convey.So(sum, convey.ShouldBeBetweenOrEqual, memory-1<<20, memory)
				convey.So(ac.maxUse[longBody]+ac.maxUse[response], convey.ShouldBeLessThan, ac.maxShared)
			}
		}
	})
	convey.Convey("Without limits every request is admitted", t, func() {
		ac := newAdmissionControl(0, 0)
		l := &lease{admission: ac}
		for range 10000 {
			convey.So(enter(ac, ""), convey.ShouldNotBeNil)
			convey.So(l.resize(longBody, 1<<40), convey.ShouldBeTrue)
		}
	})
}

func TestLease(t *testing.T) {
	convey.Convey("Random leases never exceed a limit, and are returned", t, func() {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 0))
			ac := newAdmissionControl(4100, 184<<20)
			leases := make([]lease, 200)
			refused := 0
			for i := range leases {
				leases[i].admission = ac
				leases[i].use = memoryUse(r.IntN(int(memoryUses)))
			}
			for range 5000 {
				l := &leases[r.IntN(len(leases))]
				before := *l
				switch r.IntN(4) {
				case 0:
					l.shrink(int64(r.IntN(1 << 20)))
					continue
				case 1:
					l.shrink(0)
					continue
				}
				use := l.use
				if use == shortBody {
					use = longBody
				}
				if !l.resize(use, int64(r.IntN(4<<20))) {
					refused++
					if *l != before {
						t.Fatalf("seed %d: a refused lease changed: %+v, %+v", seed, before, *l)
					}
				}
				var sum int64
				var used [memoryUses]int64
				for _, l := range leases {
					sum += l.bytes
					used[l.use] += l.bytes
				}
				if sum != ac.shared || used != ac.used || sum > ac.maxShared || used[longBody] > ac.maxUse[longBody] || used[response] > ac.maxUse[response] {
					t.Fatalf("seed %d: leased %d %v, recorded %d %v, limits %d %v", seed, sum, used, ac.shared, ac.used, ac.maxShared, ac.maxUse)
				}
			}
			for i := range leases {
				leases[i].shrink(0)
			}
			convey.So(refused, convey.ShouldBeGreaterThan, 0)
			convey.So(ac.shared, convey.ShouldEqual, 0)
			convey.So(ac.used, convey.ShouldEqual, [memoryUses]int64{})
		}
	})
	convey.Convey("Long bodies and responses leave memory for short bodies", t, func() {
		ac := newAdmissionControl(4100, 184<<20)
		for _, use := range []memoryUse{longBody, response} {
			l := &lease{admission: ac, use: use}
			n := 0
			for l.reserve(4 << 10) { // until none is left
				n++
			}
			convey.So(n, convey.ShouldBeGreaterThan, 0)
		}
		convey.So((&lease{admission: ac}).reserve(shortBodyBytes), convey.ShouldBeTrue)
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
		convey.So(eventually(func() bool { return len(ft.requests()) == 3 }), convey.ShouldBeTrue)
		cancel()
		wg.Wait()
		convey.So(len(ft.requests()), convey.ShouldEqual, 3)
		ft.mu.Lock()
		ft.steps = []step{respond(200, "ok", signed)}
		ft.mu.Unlock()
		convey.So(eventually(func() bool { return tg.gateway.inProgress.Load() == 0 }), convey.ShouldBeTrue)
		convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		time.Sleep(10 * time.Millisecond) // the handler returns after its response was received
		convey.So(tg.gateway.admission.requests, convey.ShouldEqual, 0)
	})
}
