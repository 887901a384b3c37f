// Package orders decides what a model engine is told to load and unload.
//
// The engine's own report is the truth; a Planner compares it with the adapters
// that requests wait for and names the next order. Each order is meant for the
// exact state that was reported, which its sequence number identifies, so an
// order that the engine carries out late, after another one, is void and the
// engine's places are never overfilled.
//
// # Usage
//
//	p := orders.NewPlanner()
//	p.Want(now, wanted)
//	if o, ok := p.Next(now, report, capacity); ok {
//		// send o with report.Sequence
//	}
package orders
