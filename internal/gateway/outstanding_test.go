package gateway

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
)

// newReportingTargetd starts a targetd that reports outstanding orders. It announces that it
// keeps them, and that it plans by the sizes of models, if keeps is set. It returns the messages that it receives.
func newReportingTargetd(t *testing.T, id string, keeps bool, reported peer.OutstandingOrders) (netip.AddrPort, <-chan peer.Message) {
	t.Helper()
	received := make(chan peer.Message, 64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if keeps {
			peer.AnnounceOrders(w.Header())
			peer.AnnounceModels(w.Header())
		}
		c, err := peer.Accept(w, r, peer.Identity{Name: id, Role: "targetd"}, peer.Key("k"))
		if err != nil {
			return
		}
		_, _ = c.Send(reported)
		_, _ = c.Send(peer.EngineState{Instance: id, Started: 1, Reachable: true, Models: []string{"m"}})
		_ = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
			received <- m
		}) // ends with the test
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String()), received
}

// serveTargetd connects the gateway to a targetd and waits for the state of its engine.
func serveTargetd(t *testing.T, tg *testGateway, id string, addr netip.AddrPort) {
	t.Helper()
	d := peer.Dialer{Self: peer.Identity{Name: "e1", Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
	c, err := d.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	tc := &targetdConns{ctx: t.Context(), fleet: tg.fleet, log: event.Discard(), onEngineDown: func(time.Time, string) {}}
	ts := tg.fleet.targets[id]
	go func() { _ = tc.serve(t.Context(), ts, id, c) }() // ends with the test
	connected := func() bool {
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		return ts.conn == c && ts.state.Reachable
	}
	if !eventually(connected) {
		t.Fatal("no state of the engine arrives")
	}
}

// TestOutstandingOrdersOutliveTargetd guards against an order without a response that is
// forgotten with the targetd that sent it, and against orders of the next targetd before it
// knows of that one.
func TestOutstandingOrdersOutliveTargetd(t *testing.T) {
	convey.Convey("Given an entryd to which a targetd has reported an outstanding order", t, func() {
		tg := newTestGateway(t, newFakeTarget(t, "t1", respond(200, "x", signed)))
		tg.fleet.mu.Lock()
		tg.fleet.cfg = routing.New(4, nil, []routing.Service{{Name: "s", Engine: &routing.Engine{AdapterSlots: 4, Models: []routing.Model{
			{Name: "m", WeightsMB: 100, AdapterMB: 1}, {Name: "n", WeightsMB: 50, AdapterMB: 2},
		}}}}, routing.Limits{})
		tg.fleet.mu.Unlock()
		order := orders.OutstandingOrder{
			Sequence: 18,
			Order:    orders.Order{Adapter: orders.Adapter{Model: "m", Name: "a1"}, Version: 2},
			Within:   orders.OrderLifetime,
		}
		addr, _ := newReportingTargetd(t, "t1", true, peer.OutstandingOrders{Instance: "t1", Orders: []orders.OutstandingOrder{order}})
		serveTargetd(t, tg, "t1", addr)
		convey.Convey("the next targetd of the instance gets it before the spec, with the time that is left, and the sizes of all models", func() {
			addr, received := newReportingTargetd(t, "t1", true, peer.OutstandingOrders{})
			serveTargetd(t, tg, "t1", addr)
			m, ok := (<-received).(peer.OutstandingOrders)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(m.Instance, convey.ShouldEqual, "t1")
			convey.So(m.Orders, convey.ShouldHaveLength, 1)
			got := m.Orders[0]
			convey.So(got.Within, convey.ShouldBeBetween, orders.OrderLifetime-5*time.Second, orders.OrderLifetime)
			got.Within = order.Within
			convey.So(got, convey.ShouldResemble, order)
			models, ok := (<-received).(peer.EngineModels)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(models.Models, convey.ShouldResemble, []orders.ModelSize{{Name: "m", WeightsMB: 100, AdapterMB: 1}, {Name: "n", WeightsMB: 50, AdapterMB: 2}})
			_, ok = (<-received).(peer.EngineSpec)
			convey.So(ok, convey.ShouldBeTrue)
		})
		convey.Convey("a targetd of an earlier release gets neither it nor the sizes of models", func() {
			addr, received := newReportingTargetd(t, "t1", false, peer.OutstandingOrders{})
			serveTargetd(t, tg, "t1", addr)
			_, ok := (<-received).(peer.EngineSpec)
			convey.So(ok, convey.ShouldBeTrue)
		})
		convey.Convey("it is forgotten when the engine can't execute it any more", func() {
			tg.fleet.Sweep(time.Now().Add(orders.OrderLifetime))
			tg.fleet.mu.Lock()
			defer tg.fleet.mu.Unlock()
			convey.So(tg.fleet.outstanding.Orders(time.Now(), "t1"), convey.ShouldBeEmpty)
		})
	})
}
