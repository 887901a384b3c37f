// Package dispatch schedules the requests of one target: it performs admission
// control, decides in which order requests start, and decides which adapters the
// target's engine loads for them.
//
// A Dispatcher is the only scheduler of its target. It does no I/O: its methods
// take the current time and return actions, which the caller performs and whose
// results it reports back. It is not safe for concurrent use.
//
// # Usage
//
//	d := dispatch.New(dispatch.Limits{Slots: 8, Adapters: 8, Queue: 64})
//	if reason := d.Submit(now, req); reason != outcome.NoReason {
//		// report to the sender that the request did not run
//	}
//	for _, a := range d.Next(now) {
//		// start a.Request, load a.Adapter, ...
//	}
package dispatch
