// Package orders plans the loads and unloads of models and adapters on a model
// engine.
//
// The engine's report is the authoritative state. A Planner compares it with the
// adapters that requests wait for, as reported by the entryds, the processes that
// route requests to engines, and returns the next order. Each order is
// conditional on the reported state, which its sequence number identifies: the
// engine rejects an order that arrives after another one was accepted, so a
// delayed order can't overfill the engine's adapter slots.
//
// # Usage
//
//	p := orders.NewPlanner()
//	p.RecordDemand(now, demand)
//	if o, ok := p.Next(now, report, capacity); ok {
//		// send o with report.Sequence
//	}
package orders
