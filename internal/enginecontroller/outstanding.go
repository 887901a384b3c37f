package enginecontroller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// maxKeepers is the number of entryds that keep the outstanding orders of an engine. Two of
// them may be lost together with the targetd. More would cost every VM time while many orders
// get no response.
const maxKeepers = 3

// recordUnanswered records that the engine may still execute an order.
func (ec *Controller) recordUnanswered(now time.Time, instance string, sequence int64, o orders.Order) {
	changed := ec.outstanding.Add(now, instance, orders.OutstandingOrder{Sequence: sequence, Order: o, Within: orders.OrderLifetime})
	ec.reportOutstanding(now, nil, instance, changed)
}

// reportOutstanding reports changes of the outstanding orders to the keepers other than their
// sender.
func (ec *Controller) reportOutstanding(now time.Time, from *peer.Conn, instance string, changed []orders.OutstandingOrder) {
	if len(changed) == 0 {
		return
	}
	for c := range ec.informed {
		if c != from {
			_, _ = c.Send(peer.OutstandingOrders{Instance: instance, Orders: changed}) // after an error another keeper is chosen
		}
	}
	ec.informKeepers(now)
}

// informKeepers chooses the entryds that keep the outstanding orders, and sends them to those
// that were chosen anew.
func (ec *Controller) informKeepers(now time.Time) {
	instance := ec.instance()
	list := ec.outstanding.Orders(now, instance)
	if instance == "" || len(list) == 0 {
		return
	}
	keepers := map[*peer.Conn]struct{}{}
	for _, c := range ec.keepers() {
		keepers[c] = struct{}{}
		if _, ok := ec.informed[c]; !ok {
			_, _ = c.Send(peer.OutstandingOrders{Instance: instance, Orders: list}) // after an error another keeper is chosen
		}
	}
	ec.informed = keepers
}

// keepers returns the connections to up to maxKeepers entryds that keep outstanding orders: of
// different availability zones, as far as there are enough.
func (ec *Controller) keepers() []*peer.Conn {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	var candidates []*peer.Conn
	for c := range ec.orderConns {
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b *peer.Conn) int { return cmp.Compare(a.Remote().Name, b.Remote().Name) })
	var chosen, others []*peer.Conn
	zones, names := map[string]bool{}, map[string]bool{}
	for _, c := range candidates {
		switch {
		case names[c.Remote().Name]: // one process may have several connections
		case zones[c.Remote().Zone]:
			others = append(others, c)
		default:
			chosen = append(chosen, c)
		}
		zones[c.Remote().Zone], names[c.Remote().Name] = true, true
	}
	chosen = append(chosen, others...)
	return chosen[:min(len(chosen), maxKeepers)]
}

// receiveOutstanding handles the message of an entryd that keeps outstanding orders.
func (ec *Controller) receiveOutstanding(ctx context.Context, c *peer.Conn, m peer.OutstandingOrders) {
	ec.mu.Lock()
	if _, ok := ec.conns[c]; ok {
		ec.orderConns[c] = struct{}{}
	}
	ec.mu.Unlock()
	select {
	case ec.inbox <- func(now time.Time) {
		ec.reportOutstanding(now, c, m.Instance, ec.outstanding.Add(now, m.Instance, m.Orders...))
	}:
	case <-ctx.Done():
	}
}

// heldLogInterval is the minimum time between two events that orders are held back.
const heldLogInterval = time.Second

// logHeld logs that outstanding orders change the orders of the engine.
func (ec *Controller) logHeld(now time.Time, instance string) {
	if !ec.planner.Held() || now.Sub(ec.heldLoggedAt) < heldLogInterval {
		return
	}
	ec.heldLoggedAt = now
	ec.Log.Event(event.EngineOrdersHeld).
		Str("instance", instance).
		Int64("started", ec.report.Started).
		Int64("sequence", ec.report.Sequence).
		Int("resident", len(ec.report.Adapters)).
		Int("coming", len(ec.report.Loading)).
		Int("outstanding", len(ec.outstanding.Orders(now, instance))).
		Send()
}
