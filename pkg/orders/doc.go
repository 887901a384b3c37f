// Package orders plans the loads and unloads of models and adapters on a model
// engine.
//
// The engine's report is the authoritative state. A Planner compares it with the
// adapters that requests wait for, as reported by the entryds, the processes that
// route requests to engines, and returns the next order. Each order is
// conditional on the reported state, which its sequence number identifies within
// one start of the engine: the engine rejects an order that arrives after another
// one was accepted, so a delayed order can't overfill the engine's adapter slots.
//
// An engine that starts again under its instance counts from zero, and may accept
// an order for an earlier start. Outstanding holds the orders that got no response.
// A Planner leaves room for those that the engine may execute next.
//
// # Usage
//
//	outstanding := orders.NewOutstanding()
//	outstanding.Inherit(now) // if another process sent the orders before
//	p := orders.NewPlanner(outstanding)
//	p.RecordDemand(now, demand)
//	outstanding.Observe(now, report)
//	if o, ok := p.Next(now, report, capacity); ok {
//		// send o with report.Sequence, and without a response:
//		outstanding.Add(now, report.Instance, orders.OutstandingOrder{Sequence: report.Sequence, Order: o, Within: orders.OrderLifetime})
//	}
package orders
