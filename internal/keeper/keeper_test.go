package keeper

import (
	"context"
	"errors"
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
	errRefused    = errors.New("refused")
	errUnanswered = errors.New("no answer")
)

// standIn is an engine that loads adapters at once.
type standIn struct {
	mu      sync.Mutex
	report  orders.Report
	down    bool
	given   []orders.Order
	to      []string // instances that orders were meant for
	answers []error  // of the next orders
}

func (e *standIn) Report(context.Context) (orders.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return orders.Report{}, errUnanswered
	}
	r := e.report
	r.Adapters = append([]orders.Resident(nil), r.Adapters...)
	return r, nil
}

func (e *standIn) Order(_ context.Context, instance string, sequence int64, o orders.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, o)
	e.to = append(e.to, instance)
	if len(e.answers) > 0 {
		err := e.answers[0]
		e.answers = e.answers[1:]
		if err != nil {
			return err
		}
	}
	if sequence != e.report.Sequence {
		return errRefused
	}
	e.report.Sequence++
	if o.Adapter.Name == "" {
		e.report.Models = []orders.Model{{Name: o.Adapter.Model, Version: 1}}
		return nil
	}
	e.report.Adapters = append(e.report.Adapters, orders.Resident{Adapter: o.Adapter, Version: max(1, o.Version)})
	return nil
}

func (e *standIn) Refused(err error) bool { return errors.Is(err, errRefused) }

func (e *standIn) set(change func(*standIn)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *standIn) orders() []orders.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]orders.Order(nil), e.given...)
}

// entry is the other end of a connection, which keeps what it is told.
type entry struct {
	conn *peer.Conn
	mu   sync.Mutex
	last peer.EngineState
	news []peer.CrashReport
}

func (e *entry) state() peer.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

func (e *entry) crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.news)
}

// running starts a keeper of e and returns where entries connect.
func running(t *testing.T, e *standIn) netip.AddrPort {
	t.Helper()
	k := New(Options{
		Self:   peer.Identity{Name: "side-1", Role: "targetd"},
		Key:    peer.Key("k"),
		Engine: e,
		Log:    event.Discard(),
		Scope:  tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	srv := httptest.NewServer(k)
	t.Cleanup(srv.Close)
	go k.Run(ctx)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func connect(t *testing.T, addr netip.AddrPort, name string) *entry {
	t.Helper()
	d := peer.Dialer{Self: peer.Identity{Name: name, Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
	c, err := d.Dial(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	e := &entry{conn: c}
	beat := func() peer.Heartbeat { return peer.Heartbeat{Active: true} }
	go func() {
		_ = c.Run(context.Background(), beat, func(m peer.Message) { // ends with the test
			e.mu.Lock()
			defer e.mu.Unlock()
			switch m := m.(type) {
			case peer.EngineState:
				e.last = m
			case peer.CrashReport:
				e.news = append(e.news, m)
			}
		})
	}()
	return e
}

func (e *entry) send(t *testing.T, m peer.Message) {
	t.Helper()
	if _, err := e.conn.Send(m); err != nil {
		t.Fatal(err)
	}
}

func terms(instance string, started int64) peer.EngineTerms {
	return peer.EngineTerms{
		Instance: instance, Started: started, Places: 3, WeightsMB: 110, Model: "m", ModelMB: 100, AdapterMB: 1, AtOnce: 2,
	}
}

func want(name string) peer.AdapterWants {
	return peer.AdapterWants{Wants: []peer.AdapterWant{{AdapterVersion: peer.AdapterVersion{Model: "m", Adapter: name}, Waiting: 1}}}
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

func TestKeeper(t *testing.T) {
	convey.Convey("Given a keeper beside an empty engine", t, func() {
		e := &standIn{report: orders.Report{Started: 7}}
		addr := running(t, e)
		a := connect(t, addr, "e1")
		convey.Convey("nothing is ordered before the start of the engine is known", func() {
			a.send(t, terms("i-old", 6))
			time.Sleep(3 * steadyInterval)
			convey.So(len(e.orders()), convey.ShouldEqual, 0)
		})
		convey.Convey("the model is loaded, and the adapters that entries want", func() {
			a.send(t, terms("i-1", 7))
			convey.So(eventually(func() bool { return len(a.state().Models) == 1 }), convey.ShouldBeTrue)
			a.send(t, want("a1"))
			convey.So(eventually(func() bool { return holds(a.state(), "a1") }), convey.ShouldBeTrue)
			convey.So(e.to[0], convey.ShouldEqual, "i-1")
			convey.Convey("terms of an earlier start change nothing", func() {
				a.send(t, terms("i-old", 6))
				a.send(t, want("a2"))
				convey.So(eventually(func() bool { return holds(a.state(), "a2") }), convey.ShouldBeTrue)
			})
			convey.Convey("an entry that connects later is told all", func() {
				b := connect(t, addr, "e2")
				convey.So(eventually(func() bool { return holds(b.state(), "a1") }), convey.ShouldBeTrue)
				convey.So(eventually(func() bool { return b.state().Entries == 2 }), convey.ShouldBeTrue)
			})
			convey.Convey("an order without an answer is given again", func() {
				e.set(func(e *standIn) { e.answers = []error{errUnanswered, errUnanswered} })
				before := len(e.orders())
				a.send(t, want("a2"))
				convey.So(eventually(func() bool { return holds(a.state(), "a2") }), convey.ShouldBeTrue)
				convey.So(len(e.orders()), convey.ShouldEqual, before+3)
			})
			convey.Convey("the engine's end and return are told", func() {
				e.set(func(e *standIn) { e.down = true })
				convey.So(eventually(func() bool { return !a.state().Reachable }), convey.ShouldBeTrue)
				e.set(func(e *standIn) { e.down, e.report = false, orders.Report{Started: 9} })
				a.send(t, terms("i-2", 9))
				convey.So(eventually(func() bool { return a.state().Reachable && a.state().Instance == "i-2" }), convey.ShouldBeTrue)
				convey.So(eventually(func() bool { return len(a.state().Models) == 1 }), convey.ShouldBeTrue)
			})
		})
		convey.Convey("a crash report reaches the other entries once, and later ones too", func() {
			b := connect(t, addr, "e2")
			convey.So(eventually(func() bool { return b.state().Entries == 2 || a.state().Entries == 2 }), convey.ShouldBeTrue)
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
