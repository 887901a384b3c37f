package enginecontroller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

var (
	errRejected   = errors.New("order rejected")
	errUnanswered = errors.New("no response")
)

// fakeEngine is an engine that loads models and adapters immediately.
type fakeEngine struct {
	mu             sync.Mutex
	report         orders.Report
	down           bool // the engine does not respond
	received       []orders.Order
	instances      []string      // instances to which the received orders were addressed
	results        []error       // results of the next orders, nil for the default
	notice         orders.Notice // of reports
	orderNotice    orders.Notice // of responses to orders
	refusesReports bool
	reports        int // received
}

func (e *fakeEngine) Report(context.Context) (orders.Report, orders.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	if e.down {
		return orders.Report{}, orders.Notice{}, errUnanswered
	}
	if e.refusesReports {
		return orders.Report{}, e.notice, errRejected
	}
	r := e.report
	r.Adapters = append([]orders.Resident(nil), r.Adapters...)
	return r, e.notice, nil
}

func (e *fakeEngine) Order(_ context.Context, instance string, sequence int64, o orders.Order) (orders.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, o)
	e.instances = append(e.instances, instance)
	if len(e.results) > 0 {
		err := e.results[0]
		e.results = e.results[1:]
		if err != nil {
			return e.orderNotice, err
		}
	}
	if sequence != e.report.Sequence {
		return e.orderNotice, errRejected
	}
	e.report.Sequence++
	if o.Adapter.Name == "" {
		e.report.Models = []orders.Model{{Name: o.Adapter.Model, Version: 1}}
		return e.orderNotice, nil
	}
	e.report.Adapters = append(e.report.Adapters, orders.Resident{Adapter: o.Adapter, Version: max(1, o.Version)})
	return e.orderNotice, nil
}

func (e *fakeEngine) IsRejected(err error) bool { return errors.Is(err, errRejected) }

func (e *fakeEngine) set(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *fakeEngine) orders() []orders.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]orders.Order(nil), e.received...)
}

// fakeEntryd is the entryd's end of a connection. It records the messages
// that it receives.
type fakeEntryd struct {
	conn         *peer.Conn
	mu           sync.Mutex
	last         peer.EngineState
	crashReports []peer.CrashReport
	segments     []peer.Message // reports on segments
	limits       []peer.RateLimit
	permits      []peer.PermitAnswer
	credit       []peer.CreditAnswer

	outstandingReports []peer.OutstandingOrders

	paced   bool
	pacings int                            // Pacing messages
	answers map[uint64][]peer.PromptAnswer // by offer
}

func (e *fakeEntryd) state() peer.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// segmentReports returns the reports on segments that were received.
func (e *fakeEntryd) segmentReports() []peer.Message {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]peer.Message(nil), e.segments...)
}

func (e *fakeEntryd) crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashReports)
}

// startController starts a controller of e and returns the address at which
// entryds connect.
func startController(t *testing.T, e Engine) netip.AddrPort {
	t.Helper()
	ec := New(Options{
		Self:   peer.Identity{Name: "targetd-1", Role: "targetd"},
		Key:    peer.Key("k"),
		Engine: e,
		Log:    event.Discard(),
		Scope:  tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	srv := httptest.NewServer(ec)
	t.Cleanup(srv.Close)
	go ec.Run(ctx)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func connect(t *testing.T, addr netip.AddrPort, name string) *fakeEntryd {
	t.Helper()
	return connectAs(t, addr, entrydNamed(name, ""))
}

// entrydNamed returns the identity of an entryd in an availability zone.
func entrydNamed(name, zone string) peer.Identity {
	return peer.Identity{Name: name, Role: "entryd", Zone: zone}
}

func connectAs(t *testing.T, addr netip.AddrPort, id peer.Identity) *fakeEntryd {
	t.Helper()
	d := peer.Dialer{Self: id, Key: peer.Key("k"), Client: &http.Client{}}
	c, err := d.Dial(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	e := &fakeEntryd{conn: c, answers: map[uint64][]peer.PromptAnswer{}}
	heartbeat := func() peer.Heartbeat { return peer.Heartbeat{Active: true} }
	go func() {
		_ = c.Run(context.Background(), heartbeat, func(m peer.Message) { // the connection is closed at the end of the test
			e.mu.Lock()
			defer e.mu.Unlock()
			switch m := m.(type) {
			case peer.EngineState:
				e.last = m
			case peer.Pacing:
				e.paced = true
				e.pacings++
			case peer.PromptAnswer:
				e.answers[m.ID] = append(e.answers[m.ID], m)
			case peer.CrashReport:
				e.crashReports = append(e.crashReports, m)
			case peer.SegmentCrash, peer.SegmentAnswers:
				e.segments = append(e.segments, m)
			case peer.RateLimit:
				e.limits = append(e.limits, m)
			case peer.PermitAnswer:
				e.permits = append(e.permits, m)
			case peer.CreditAnswer:
				e.credit = append(e.credit, m)
			case peer.OutstandingOrders:
				e.outstandingReports = append(e.outstandingReports, m)
			}
		})
	}()
	return e
}

func (e *fakeEntryd) send(t *testing.T, m peer.Message) {
	t.Helper()
	if _, err := e.conn.Send(m); err != nil {
		t.Fatal(err)
	}
}

func engineSpec(instance string, started int64) peer.EngineSpec {
	return peer.EngineSpec{
		Instance: instance, Started: started, AdapterSlots: 3, WeightsMB: 110, Model: "m", ModelMB: 100, AdapterMB: 1, MaxLoads: 2,
	}
}

// wantAdapter returns the demand of one request that waits for an adapter.
func wantAdapter(name string) peer.AdapterDemands {
	return peer.AdapterDemands{Demands: []peer.AdapterDemand{{AdapterVersion: peer.AdapterVersion{Model: "m", Adapter: name}, Waiting: 1}}}
}

func eventually(ok func() bool) bool {
	for range 500 {
		if ok() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func holds(s peer.EngineState, name string) bool {
	for _, a := range s.Resident {
		if a.Adapter == name {
			return true
		}
	}
	return false
}

func TestController(t *testing.T) {
	convey.Convey("Given a controller of an empty engine", t, func() {
		e := &fakeEngine{report: orders.Report{Started: 7}}
		addr := startController(t, e)
		a := connect(t, addr, "e1")
		convey.Convey("nothing is ordered before the instance of the engine is known", func() {
			a.send(t, engineSpec("i-old", 6))
			time.Sleep(3 * idleInterval)
			convey.So(len(e.orders()), convey.ShouldEqual, 0)
		})
		convey.Convey("the model and the adapters that entryds request are loaded", func() {
			a.send(t, engineSpec("i-1", 7))
			convey.So(eventually(func() bool { return len(a.state().Models) == 1 }), convey.ShouldBeTrue)
			a.send(t, wantAdapter("a1"))
			convey.So(eventually(func() bool { return holds(a.state(), "a1") }), convey.ShouldBeTrue)
			convey.So(e.instances[0], convey.ShouldEqual, "i-1")
			convey.Convey("the spec of an earlier instance has no effect", func() {
				a.send(t, engineSpec("i-old", 6))
				a.send(t, wantAdapter("a2"))
				convey.So(eventually(func() bool { return holds(a.state(), "a2") }), convey.ShouldBeTrue)
			})
			convey.Convey("an entryd that connects later receives the full state", func() {
				b := connect(t, addr, "e2")
				convey.So(eventually(func() bool { return holds(b.state(), "a1") }), convey.ShouldBeTrue)
				convey.So(eventually(func() bool { return b.state().ConnectedEntries == 2 }), convey.ShouldBeTrue)
			})
			convey.Convey("an unanswered order is repeated", func() {
				e.set(func(e *fakeEngine) { e.results = []error{errUnanswered, errUnanswered} })
				before := len(e.orders())
				a.send(t, wantAdapter("a2"))
				convey.So(eventually(func() bool { return holds(a.state(), "a2") }), convey.ShouldBeTrue)
				convey.So(len(e.orders()), convey.ShouldEqual, before+3)
			})
			convey.Convey("entryds receive the state of an engine that stops responding, and of its next instance", func() {
				e.set(func(e *fakeEngine) { e.down = true })
				convey.So(eventually(func() bool { return !a.state().Reachable }), convey.ShouldBeTrue)
				e.set(func(e *fakeEngine) { e.down, e.report = false, orders.Report{Started: 9} })
				a.send(t, engineSpec("i-2", 9))
				convey.So(eventually(func() bool { return a.state().Reachable && a.state().Instance == "i-2" }), convey.ShouldBeTrue)
				convey.So(eventually(func() bool { return len(a.state().Models) == 1 }), convey.ShouldBeTrue)
			})
		})
		convey.Convey("a crash report reaches the other entryds once, including those that connect later", func() {
			b := connect(t, addr, "e2")
			convey.So(eventually(func() bool { return b.state().ConnectedEntries == 2 || a.state().ConnectedEntries == 2 }), convey.ShouldBeTrue)
			m := peer.CrashReport{Engine: "i/1", Fingerprints: [][]byte{{1}}}
			a.send(t, m)
			a.send(t, m)
			convey.So(eventually(func() bool { return b.crashes() == 1 }), convey.ShouldBeTrue)
			c := connect(t, addr, "e3")
			convey.So(eventually(func() bool { return c.crashes() == 1 }), convey.ShouldBeTrue)
			convey.So(b.crashes(), convey.ShouldEqual, 1)
			convey.So(a.crashes(), convey.ShouldEqual, 0)
		})
	})
}

// answersOf returns the answers to the offer with the given id.
func (e *fakeEntryd) answersOf(id uint64) []peer.PromptAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]peer.PromptAnswer(nil), e.answers[id]...)
}

// isAdmitted reports whether the offer with the given id was admitted.
func (e *fakeEntryd) isAdmitted(id uint64) bool {
	for _, m := range e.answersOf(id) {
		if m.Admitted {
			return true
		}
	}
	return false
}

func (e *fakeEntryd) isPaced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paced
}

func (e *fakeEntryd) pacingCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pacings
}

func TestPacingStarts(t *testing.T) {
	convey.Convey("Given the targetds of two engines and two entryds that are connected to both", t, func() {
		spec := engineSpec("i-1", 7)
		spec.Paces = true
		var engines [2][2]*fakeEntryd
		var addrs [2]netip.AddrPort
		for i := range engines {
			addrs[i] = startController(t, &fakeEngine{report: orders.Report{Started: 7}})
			for j := range engines[i] {
				c := connect(t, addrs[i], fmt.Sprintf("e%d", j))
				c.send(t, spec)
				convey.So(eventually(c.isPaced), convey.ShouldBeTrue)
				engines[i][j] = c
			}
		}
		// report sends late streams, too few to pace prompts.
		report := func(c *fakeEntryd) {
			for id := range uint64(4) {
				c.send(t, peer.PromptOffer{ID: id + 1, Tokens: 100, TokenTime: 50 * time.Microsecond})
				c.send(t, peer.PromptDone{ID: id + 1})
				c.send(t, peer.LateStream{Allowed: 300 * time.Millisecond})
			}
			convey.So(eventually(func() bool { return c.isAdmitted(4) }), convey.ShouldBeTrue)
		}
		report(engines[0][0])
		convey.So(engines[0][0].pacingCount(), convey.ShouldEqual, 1)
		convey.Convey("late streams of both entryds at one engine pace the prompts of both for it, and none for the other", func() {
			report(engines[0][1])
			for i, want := range []int{2, 1} {
				for _, c := range engines[i] {
					convey.So(eventually(func() bool { return c.pacingCount() == want }), convey.ShouldBeTrue)
				}
			}
			convey.Convey("also those of one that connects later", func() {
				c := connect(t, addrs[0], "e3")
				c.send(t, spec)
				convey.So(eventually(func() bool { return c.pacingCount() == 2 }), convey.ShouldBeTrue)
			})
		})
	})
}

func TestPacing(t *testing.T) {
	convey.Convey("Given a controller with two entryds that pace their prompts", t, func() {
		e := &fakeEngine{report: orders.Report{Started: 7, Running: 2, Queued: 1}}
		addr := startController(t, e)
		a, b := connect(t, addr, "e1"), connect(t, addr, "e2")
		spec := engineSpec("i-1", 7)
		spec.Paces = true
		a.send(t, spec)
		b.send(t, spec)
		convey.So(eventually(func() bool { return a.isPaced() && b.isPaced() }), convey.ShouldBeTrue)
		large := peer.PromptOffer{ID: 1, Tokens: 4000, TokenTime: 50 * time.Microsecond, Gap: 300 * time.Millisecond}
		a.send(t, large)
		convey.So(eventually(func() bool { return a.isAdmitted(1) }), convey.ShouldBeTrue)
		convey.Convey("the prompt of one waits for that of the other, and is told what is ahead", func() {
			b.send(t, large)
			convey.So(eventually(func() bool { return len(b.answersOf(1)) == 1 }), convey.ShouldBeTrue)
			convey.So(b.isAdmitted(1), convey.ShouldBeFalse)
			convey.So(b.answersOf(1)[0].Ahead, convey.ShouldEqual, 4000)
			convey.So(eventually(func() bool { b.send(t, peer.PromptOffer{ID: 2, Tokens: 1}); return b.isAdmitted(2) }), convey.ShouldBeTrue)
			convey.Convey("and is admitted once that was read", func() {
				a.send(t, peer.PromptDone{ID: 1})
				b.send(t, peer.PromptDone{ID: 2})
				convey.So(eventually(func() bool { return b.isAdmitted(1) }), convey.ShouldBeTrue)
			})
			convey.Convey("or when the other entryd is gone", func() {
				a.conn.Close()
				b.send(t, peer.PromptDone{ID: 2})
				convey.So(eventually(func() bool { return b.isAdmitted(1) }), convey.ShouldBeTrue)
			})
			convey.Convey("or when the other one was not read in time", func() {
				convey.So(eventually(func() bool { return b.isAdmitted(1) }), convey.ShouldBeTrue)
			})
		})
		convey.Convey("answers state the requests at the engine, with those admitted since its report", func() {
			convey.So(eventually(func() bool {
				b.send(t, peer.PromptOffer{ID: 9, Tokens: 1})
				answers := b.answersOf(9)
				return len(answers) > 0 && answers[len(answers)-1].Requests >= 4
			}), convey.ShouldBeTrue)
		})
	})
	convey.Convey("An entryd of an earlier release gets no message that it does not know", t, func() {
		addr := startController(t, &fakeEngine{report: orders.Report{Started: 7}})
		a := connect(t, addr, "e1")
		a.send(t, engineSpec("i-1", 7))
		convey.So(eventually(func() bool { return a.state().Instance == "i-1" }), convey.ShouldBeTrue)
		convey.So(a.isPaced(), convey.ShouldBeFalse)
	})
}

// TestDepartingEngine guards against an engine that gets requests and orders after it
// said in an answer that it leaves.
func TestDepartingEngine(t *testing.T) {
	convey.Convey("Given an engine with a model", t, func() {
		e := &fakeEngine{report: orders.Report{Started: 7}}
		a := connect(t, startController(t, e), "e1")
		a.send(t, engineSpec("i-1", 7))
		convey.So(eventually(func() bool { return len(a.state().Models) == 1 }), convey.ShouldBeTrue)
		convey.So(a.state().Departing, convey.ShouldBeFalse)
		departs := func() bool { return a.state().Departing && a.state().Started == 7 }
		convey.Convey("its answer to an order tells entryds that it departs, and it gets no other order", func() {
			e.set(func(e *fakeEngine) { e.orderNotice = orders.Notice{Departing: true} })
			ordered := len(e.orders())
			a.send(t, wantAdapter("a1"))
			convey.So(eventually(departs), convey.ShouldBeTrue)
			a.send(t, wantAdapter("a2"))
			time.Sleep(3 * idleInterval)
			convey.So(len(e.orders()), convey.ShouldEqual, ordered+1)
			convey.So(departs(), convey.ShouldBeTrue) // its report does not say so
			convey.Convey("until it restarts", func() {
				e.set(func(e *fakeEngine) { e.orderNotice, e.report = orders.Notice{}, orders.Report{Started: 9} })
				a.send(t, engineSpec("i-2", 9))
				convey.So(eventually(func() bool { s := a.state(); return s.Started == 9 && !s.Departing && len(s.Models) == 1 }), convey.ShouldBeTrue)
			})
		})
		convey.Convey("its report tells so", func() {
			e.set(func(e *fakeEngine) { e.notice = orders.Notice{Departing: true} })
			convey.So(eventually(departs), convey.ShouldBeTrue)
		})
		convey.Convey("a refusal of the report tells so", func() {
			e.set(func(e *fakeEngine) { e.notice, e.refusesReports = orders.Notice{Departing: true}, true })
			convey.So(eventually(departs), convey.ShouldBeTrue)
		})
	})
}

// reportCount returns the number of reports that were requested.
func (e *fakeEngine) reportCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports
}

// TestEngineBackoff guards against calls of an engine that turned one away for some
// time, and against taking such an engine for one that is down.
func TestEngineBackoff(t *testing.T) {
	convey.Convey("Given an engine with a model", t, func() {
		e := &fakeEngine{report: orders.Report{Started: 7}}
		a := connect(t, startController(t, e), "e1")
		a.send(t, engineSpec("i-1", 7))
		convey.So(eventually(func() bool { return len(a.state().Models) == 1 }), convey.ShouldBeTrue)
		backoff := orders.Notice{Backoff: time.Second}
		// turnAwayReport and turnAwayOrder have the engine turn the next such call away, and
		// return the earliest end of the backoff.
		turnAwayReport := func() time.Time {
			began, before := time.Now(), 0
			e.set(func(e *fakeEngine) { e.refusesReports, e.notice, before = true, backoff, e.reports })
			convey.So(eventually(func() bool { return e.reportCount() > before }), convey.ShouldBeTrue)
			e.set(func(e *fakeEngine) { e.refusesReports, e.notice = false, orders.Notice{} })
			return began.Add(backoff.Backoff)
		}
		turnAwayOrder := func() time.Time {
			began, before := time.Now(), len(e.orders())
			e.set(func(e *fakeEngine) { e.results, e.orderNotice = []error{errRejected}, backoff })
			a.send(t, wantAdapter("a1"))
			convey.So(eventually(func() bool { return len(e.orders()) > before }), convey.ShouldBeTrue)
			e.set(func(e *fakeEngine) { e.orderNotice = orders.Notice{} })
			return began.Add(backoff.Backoff)
		}
		silent := func(until time.Time) bool {
			reports, ordered := e.reportCount(), len(e.orders())
			for time.Now().Before(until) {
				a.send(t, wantAdapter("a2"))
				time.Sleep(20 * time.Millisecond)
			}
			return e.reportCount() == reports && len(e.orders()) == ordered && a.state().Reachable
		}
		convey.Convey("it gets neither reports nor orders after it turned an order away, until the time has passed", func() {
			convey.So(silent(turnAwayOrder()), convey.ShouldBeTrue)
			convey.So(eventually(func() bool { return holds(a.state(), "a2") }), convey.ShouldBeTrue)
		})
		convey.Convey("nor after it turned a report away, and it counts as reachable", func() {
			convey.So(silent(turnAwayReport()), convey.ShouldBeTrue)
			a.send(t, wantAdapter("a2"))
			convey.So(eventually(func() bool { return holds(a.state(), "a2") }), convey.ShouldBeTrue)
		})
		convey.Convey("its next instance is called at once", func() {
			backoff.Backoff = time.Hour
			turnAwayOrder()
			e.set(func(e *fakeEngine) { e.report = orders.Report{Started: 9} })
			a.send(t, engineSpec("i-2", 9))
			convey.So(eventually(func() bool { return a.state().Started == 9 }), convey.ShouldBeTrue)
		})
	})
}
