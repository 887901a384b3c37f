package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/target"
)

// copyTime is the time at which a target sends the copy of a refusal.
type copyTime uint8

const (
	copyFirst copyTime = iota // when the refused request comes again over the same connection
	copyLate                  // while that request runs
	copySoon                  // a moment after the refusal
)

// copyRunTime is the time that a copyingTarget takes for a run.
const copyRunTime = 20 * time.Millisecond

// copyingTarget refuses its first request, and sends a copy of the refusal over the same
// connection. It runs all other requests.
type copyingTarget struct {
	status    int
	at        copyTime
	onRefusal func() // called before the refusal is sent

	mu      sync.Mutex
	refused net.Conn // the refusal was sent over it, nil before
	runs    int
	running int
	most    int // highest value of running
}

func (ct *copyingTarget) refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", ct.status, id)
}

// handle is a step.
func (ct *copyingTarget) handle(c net.Conn, r *http.Request) bool {
	refusal := ct.refusal(r.Header.Get("Id"))
	ct.mu.Lock()
	if ct.refused == nil {
		ct.refused = c
		ct.mu.Unlock()
		ct.onRefusal()
		_, _ = io.WriteString(c, refusal)
		if ct.at == copySoon {
			time.AfterFunc(copyRunTime/4, func() { _, _ = io.WriteString(c, refusal) })
		}
		return true
	}
	copies := ct.refused == c
	ct.runs++
	ct.running++
	ct.most = max(ct.most, ct.running)
	ct.mu.Unlock()
	if copies && ct.at == copyLate {
		time.Sleep(copyRunTime / 2)
	}
	if copies && ct.at != copySoon {
		_, _ = io.WriteString(c, refusal)
	}
	time.Sleep(copyRunTime)
	ct.mu.Lock()
	ct.running--
	ct.mu.Unlock()
	return respond(200, "own", signed)(c, r)
}

// counts returns the number of runs, and the most at the same time.
func (ct *copyingTarget) counts() (runs, most int) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.runs, ct.most
}

// copyTest is one case of the tests of copied refusals.
type copyTest struct {
	status int
	at     copyTime
	path   string
}

func copyTests(statuses []int, paths ...string) []copyTest {
	var tests []copyTest
	for _, status := range statuses {
		for _, at := range []copyTime{copyFirst, copyLate, copySoon} {
			for _, path := range paths {
				tests = append(tests, copyTest{status, at, path})
			}
		}
	}
	return tests
}

func (test copyTest) start(t *testing.T) (*testGateway, *fakeTarget, *copyingTarget) {
	ct := &copyingTarget{status: test.status, at: test.at, onRefusal: func() {}}
	ft := newFakeTarget(t, "t1", ct.handle)
	return newTestGateway(t, ft), ft, ct
}

// TestRefusalCopiedToRenamedTarget guards against a copy of a refusal that is taken as
// proof because the target's entry has another id when the request comes back.
func TestRefusalCopiedToRenamedTarget(t *testing.T) {
	convey.Convey("A request runs once if the target that refused it has another id when it comes back", t, func() {
		for _, test := range copyTests([]int{503, 421, 429}, "/unsafe/x", "/once/x") {
			convey.Convey(fmt.Sprintf("%+v", test), func() {
				tg, ft, ct := test.start(t)
				ct.onRefusal = func() {
					now := time.Now()
					tg.fleet.mu.Lock()
					defer tg.fleet.mu.Unlock()
					tg.fleet.upsert(now, target.Replica{ID: "t2", Service: "s", Addr: ft.addr, Zone: "a", Slots: 4, State: target.Live, Started: now})
				}
				convey.So(tg.call(t, test.path).status, convey.ShouldEqual, 200)
				runs, _ := ct.counts()
				convey.So(runs, convey.ShouldEqual, 1)
			})
		}
	})
}

// TestRefusalCopiedToLaterCall guards against a copy of the refusal of a call that is
// taken as that of a later call with the same request id.
func TestRefusalCopiedToLaterCall(t *testing.T) {
	convey.Convey("A call with the id of a refused one runs once and is not reported as refused", t, func() {
		for _, test := range copyTests([]int{503, 421, 429, 400}, "/unsafe/x", "/once/x") {
			convey.Convey(fmt.Sprintf("%+v", test), func() {
				tg, _, ct := test.start(t)
				tg.gateway.RetryBudget = newRetryBudget(0, 0, time.Second, time.Now())
				convey.So(tg.call(t, test.path).status, convey.ShouldBeIn, 503, 400)
				convey.So(tg.call(t, test.path).status, convey.ShouldEqual, 200)
				runs, _ := ct.counts()
				convey.So(runs, convey.ShouldEqual, 1)
			})
		}
	})
}

// TestRefusalCopiedToConcurrentCall guards against a copy of the refusal of a call that
// is taken as that of another call with the same request id.
func TestRefusalCopiedToConcurrentCall(t *testing.T) {
	convey.Convey("Two calls with the same id at the same time run once each", t, func() {
		for _, test := range copyTests([]int{503, 421, 429}, "/unsafe/x", "/once/x") {
			convey.Convey(fmt.Sprintf("%+v", test), func() {
				tg, _, ct := test.start(t)
				first := make(chan reply, 1)
				go func() { first <- tg.call(t, test.path) }()
				convey.So(eventually(func() bool {
					runs, _ := ct.counts()
					return runs == 1
				}), convey.ShouldBeTrue)
				convey.So(tg.call(t, test.path).status, convey.ShouldEqual, 200)
				convey.So((<-first).status, convey.ShouldEqual, 200)
				runs, _ := ct.counts()
				convey.So(runs, convey.ShouldEqual, 2)
			})
		}
	})
}

// TestRefusalCopiedToTakeUp guards against a stream that is run a second time while the
// first run goes on, because a copy of a refusal is taken as that of its take-up.
func TestRefusalCopiedToTakeUp(t *testing.T) {
	convey.Convey("A take-up with the id of a refused request has one run at a time", t, func() {
		for _, test := range copyTests([]int{503, 421, 429}, "/stream/x") {
			convey.Convey(fmt.Sprintf("%+v", test), func() {
				tg, _, ct := test.start(t)
				budget := tg.gateway.RetryBudget
				tg.gateway.RetryBudget = newRetryBudget(0, 0, time.Second, time.Now())
				convey.So(tg.call(t, test.path).status, convey.ShouldEqual, 503)
				tg.gateway.RetryBudget = budget
				convey.So(tg.call(t, test.path, "Last-Event-Id", "1").status, convey.ShouldEqual, 200)
				_, most := ct.counts()
				convey.So(most, convey.ShouldEqual, 1)
			})
		}
	})
}
